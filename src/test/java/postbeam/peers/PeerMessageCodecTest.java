package postbeam.peers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import postbeam.config.InstanceSettings;
import postbeam.config.SubsystemSettings;
import postbeam.coordination.CoordinationError;
import postbeam.coordination.LeaseGrant;
import postbeam.coordination.LeaseRequest;
import postbeam.coordination.NodeIncarnation;
import postbeam.coordination.ProcessIdentity;
import postbeam.coordination.VoteRequest;
import postbeam.coordination.VoteResponse;
import postbeam.errors.OperatorError;
import postbeam.errors.OperatorErrorException;

class PeerMessageCodecTest {
    private static final ProcessIdentity A = new ProcessIdentity("a", 1_790_000_000_000L);
    private static final NodeIncarnation NODE = new NodeIncarnation("n:1", 7);

    @TempDir private Path folder;

    @Test
    void decodedMessagesEqualTheEncodedOnes() throws IOException {
        PeerMessageCodec.PeerRequest request =
                new PeerMessageCodec.PeerRequest(
                        "d",
                        A,
                        List.of(new VoteRequest(3, 9, 4, A)),
                        Map.of(3, List.of(new LeaseRequest(NODE, A, 5, 0.25, 8))));
        assertEquals(request, PeerMessageCodec.decodeRequest(PeerMessageCodec.encode(request)));
        PeerMessageCodec.PeerResponse response =
                new PeerMessageCodec.PeerResponse(
                        new ProcessIdentity("b", 2),
                        List.of(
                                new VoteResponse(3, 9, 4, "b", true, 9),
                                new VoteResponse(4, 1, 1, "b", false, 2)),
                        Map.of(3, List.of(new LeaseGrant(NODE, A, 5, 0.125))));
        assertEquals(
                response, PeerMessageCodec.decodeResponse(PeerMessageCodec.encode(response), A));
    }

    @Test
    void malformedRequestsAreRejected() {
        String valid =
                "{\"digest\":\"d\",\"from\":\"a\",\"run\":1,\"ballots\":[[1,2,3]],\"leases\":[]}";
        for (String malformed :
                List.of(
                        "",
                        "[]",
                        valid.replace("[1,2,3]", "[1,2]"),
                        valid.replace("[1,2,3]", "7"),
                        valid.replace("[1,2,3]", "[1,\"2\",3]"),
                        valid.replace("\"a\"", "null"),
                        valid.replace(":1,", ":1.5,"),
                        valid.replace("\"leases\":[]", "\"leases\":[[1,\"n\",1,1,-1,1]]"),
                        valid.replace("[[1,2,3]]", "[" + "[1,2,3],".repeat(1024) + "[1,2,3]]"))) {
            assertThrows(
                    IOException.class,
                    () ->
                            PeerMessageCodec.decodeRequest(
                                    malformed.getBytes(StandardCharsets.UTF_8)),
                    malformed);
        }
    }

    /** Guards against a stripe number that becomes another one when it is narrowed to an int. */
    @Test
    void stripeNumbersOutsideTheRangeOfIntAreRejected() {
        for (String stripe : List.of("4294967297", "-4294967295", "-1")) {
            String vote =
                    "{\"digest\":\"d\",\"from\":\"a\",\"run\":1,\"ballots\":[[S,2,3]],\"leases\":[]}";
            String lease =
                    "{\"digest\":\"d\",\"from\":\"a\",\"run\":1,\"ballots\":[],"
                            + "\"leases\":[[S,\"n\",1,1,0.5,1]]}";
            for (String message : List.of(vote, lease)) {
                byte[] bytes = message.replace("S", stripe).getBytes(StandardCharsets.UTF_8);
                assertThrows(
                        IOException.class, () -> PeerMessageCodec.decodeRequest(bytes), message);
            }
        }
    }

    @Test
    void deployedSettingsAreReadAndInvalidOnesAreReported()
            throws IOException, OperatorErrorException {
        String text = Files.readString(Path.of("deploy/postbeam.json5"));
        FleetConfig config = FleetConfigReader.read(read(text));
        new PeerCoordinator(config).stop();
        assertEquals(Map.of("r1", "127.0.0.1:7070"), config.routers());
        FleetConfig notListed =
                FleetConfigReader.read(
                        read(
                                text.replace(
                                        "name: \"r1\",\n    routers",
                                        "name: \"r9\",\n    routers")));
        OperatorError error =
                assertThrows(OperatorErrorException.class, () -> new PeerCoordinator(notListed))
                        .error();
        assertEquals(new CoordinationError.NotAMember("r9"), error);
        InstanceSettings tooFewShares =
                read(text.replace("routers: [", "routers: [{name: \"r2\", address: \"h:1\"}, "));
        assertTrue(
                assertThrows(
                                IllegalArgumentException.class,
                                () -> FleetConfigReader.read(tooFewShares))
                        .getMessage()
                        .contains("together.shares"));
    }

    private InstanceSettings read(String text) throws IOException {
        return SubsystemSettings.read(Files.writeString(folder.resolve("settings.json5"), text));
    }

    @Test
    void eachErrorNamesItsSubjectAndARemedy() {
        List<CoordinationError> errors =
                List.of(
                        new CoordinationError.MismatchedFleetConfig("r7"),
                        new CoordinationError.DuplicateName("r7", 1, 2),
                        new CoordinationError.UnknownRouter("r7"),
                        new CoordinationError.MalformedMessage("r7", "not JSON"),
                        new CoordinationError.UnresponsiveRouter("r7", "refused", 50),
                        new CoordinationError.NotAMember("r7"));
        assertEquals(
                Stream.of(CoordinationError.class.getPermittedSubclasses())
                        .map(Class::getName)
                        .sorted()
                        .toList(),
                errors.stream().map(error -> error.getClass().getName()).sorted().toList());
        for (CoordinationError error : errors) {
            assertTrue(error.problem().contains("r7"), error.message());
            assertTrue(
                    error.remedy().length() > 30 && !error.message().endsWith("."),
                    error.message());
        }
    }
}
