package postbeam.router;

import java.io.IOException;
import java.util.Random;
import postbeam.config.InstanceSettings;
import postbeam.config.PolicyFactory;
import postbeam.config.RouterConfig;
import postbeam.config.SettingsValidator;
import postbeam.discovery.EndpointListCodec;

/** Checks whether a router could start with a configuration. */
final class ConfigurationCheck {
    private ConfigurationCheck() {}

    /**
     * Reads every setting that a start reads.
     *
     * @throws IOException if the endpoint list in the configuration can't be read
     * @throws IllegalArgumentException if a setting is invalid; the message names it
     */
    static void check(RouterConfig config) throws IOException {
        InstanceSettings settings = config.settings;
        config.address("listen");
        config.address("discovery");
        config.seed();
        RouterLimits.of(config);
        SettingsValidator.validate(settings);
        for (int i = 0; i < settings.objectCount("classes"); i++) {
            Double followUp = settings.listEntry("domain.followUp", i);
            if (followUp != null && followUp > 0) {
                throw settings.invalid(
                        "domain.followUp",
                        "must be 0 or absent for each query class, not "
                                + followUp
                                + ": a second step exists in the simulator only");
            }
        }
        PolicyFactory.queryClasses(settings);
        PolicyFactory.tenants(settings);
        PolicyFactory.pollSchedule(settings, new Random());
        PolicyFactory.routingPolicy(null, new Random(), PolicyFactory.cluster(settings), settings);
        if (config.initialEndpointList().isPresent()) {
            EndpointListCodec.decode(
                    config.initialEndpointList().get(), settings.integerAtLeast("domain.cells", 1));
        }
    }
}
