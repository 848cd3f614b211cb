package postbeam.architecture;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.base.DescribedPredicate;
import com.tngtech.archunit.core.domain.JavaAccess;
import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;
import java.time.Clock;
import java.time.Instant;
import java.time.LocalDateTime;
import java.util.Set;

/** The package rules of docs/architecture.md, checked on the compiled classes. */
@AnalyzeClasses(packages = "postbeam", importOptions = ImportOption.DoNotIncludeTests.class)
class ArchitectureTest {
    private static final String[] DECISION_PACKAGES = {
        "postbeam.policy..",
        "postbeam.model..",
        "postbeam.coordination..",
        "postbeam.slices..",
        "postbeam.migration..",
        "postbeam.pages..",
        "postbeam.endpoints.."
    };

    private static final Set<String> CLOCK_METHODS = Set.of("currentTimeMillis", "nanoTime", "now");
    private static final Set<String> CLOCK_OWNERS =
            Set.of(
                    System.class.getName(),
                    Instant.class.getName(),
                    LocalDateTime.class.getName(),
                    Clock.class.getName());

    @ArchTest
    static final ArchRule packagesHaveNoImportCycles =
            slices().matching("postbeam.(*)..").should().beFreeOfCycles();

    @ArchTest
    static final ArchRule testbedPackagesHaveNoImportCycles =
            slices().matching("postbeam.testbed.(*)..").should().beFreeOfCycles();

    @ArchTest
    static final ArchRule decisionsDoNoInputOrOutput =
            noClasses()
                    .that()
                    .resideInAnyPackage(DECISION_PACKAGES)
                    .should()
                    .dependOnClassesThat()
                    .resideInAnyPackage(
                            "java.net..",
                            "java.nio.channels..",
                            "java.nio.file..",
                            "io.undertow..",
                            "org.xnio..");

    @ArchTest
    static final ArchRule decisionsUseNoThreads =
            noClasses()
                    .that()
                    .resideInAnyPackage(DECISION_PACKAGES)
                    .should()
                    .dependOnClassesThat()
                    .resideInAnyPackage("java.util.concurrent..")
                    .orShould()
                    .dependOnClassesThat()
                    .areAssignableTo(Thread.class);

    @ArchTest
    static final ArchRule decisionsReadNoClock =
            noClasses()
                    .that()
                    .resideInAnyPackage(DECISION_PACKAGES)
                    .should()
                    .accessTargetWhere(readsAClock());

    @ArchTest
    static final ArchRule aServingRouterLoadsNothingOfTheTestbed =
            noClasses()
                    .that()
                    .resideOutsideOfPackages("postbeam.testbed..", "postbeam.cli..")
                    .should()
                    .dependOnClassesThat()
                    .resideInAPackage("postbeam.testbed..");

    private static DescribedPredicate<JavaAccess<?>> readsAClock() {
        return DescribedPredicate.describe(
                "reads a clock",
                access ->
                        CLOCK_METHODS.contains(access.getName())
                                && isClock(access.getTargetOwner()));
    }

    private static boolean isClock(JavaClass owner) {
        return CLOCK_OWNERS.contains(owner.getName());
    }
}
