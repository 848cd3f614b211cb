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
    void encodedMessagesAreDecodedToEqualOnes() throws IOException {
        PeerMessageCodec.PeerRequest asks =
                new PeerMessageCodec.PeerRequest(
                        "d",
                        A,
                        List.of(new VoteRequest(3, 9, 4, A)),
                        Map.of(3, List.of(new LeaseRequest(NODE, A, 5, 0.25, 8))));
        assertEquals(asks, PeerMessageCodec.decodeRequest(PeerMessageCodec.encode(asks)));
        PeerMessageCodec.PeerResponse answers =
                new PeerMessageCodec.PeerResponse(
                        new ProcessIdentity("b", 2),
                        List.of(
                                new VoteResponse(3, 9, 4, "b", true, 9),
                                new VoteResponse(4, 1, 1, "b", false, 2)),
                        Map.of(3, List.of(new LeaseGrant(NODE, A, 5, 0.125))));
        assertEquals(answers, PeerMessageCodec.decodeResponse(PeerMessageCodec.encode(answers), A));
    }

    @Test
    void malformedRequestsAreRejected() {
        String sound =
                "{\"digest\":\"d\",\"from\":\"a\",\"run\":1,\"ballots\":[[1,2,3]],\"leases\":[]}";
        for (String bad :
                List.of(
                        "",
                        "[]",
                        sound.replace("[1,2,3]", "[1,2]"),
                        sound.replace("[1,2,3]", "7"),
                        sound.replace("[1,2,3]", "[1,\"2\",3]"),
                        sound.replace("\"a\"", "null"),
                        sound.replace(":1,", ":1.5,"),
                        sound.replace("\"leases\":[]", "\"leases\":[[1,\"n\",1,1,-1,1]]"),
                        sound.replace("[[1,2,3]]", "[" + "[1,2,3],".repeat(1024) + "[1,2,3]]"))) {
            assertThrows(
                    IOException.class,
                    () -> PeerMessageCodec.decodeRequest(bad.getBytes(StandardCharsets.UTF_8)),
                    bad);
        }
    }

    /** Guards against a stripe that is cut to the bits of another one. */
    @Test
    void stripesBeyondTheRangeOfNumbersAreRejected() {
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
    void deployedSectionIsReadAndInvalidOnesAreNamed() throws IOException, OperatorErrorException {
        String text = Files.readString(Path.of("deploy/postbeam.json5"));
        FleetConfig place = FleetConfigReader.read(read(text));
        new PeerCoordinator(place).stop();
        assertEquals(Map.of("r1", "127.0.0.1:7070"), place.routers());
        FleetConfig strange =
                FleetConfigReader.read(
                        read(
                                text.replace(
                                        "name: \"r1\",\n    routers",
                                        "name: \"r9\",\n    routers")));
        OperatorError error =
                assertThrows(OperatorErrorException.class, () -> new PeerCoordinator(strange))
                        .error();
        assertEquals(new CoordinationError.NotAMember("r9"), error);
        InstanceSettings few =
                read(text.replace("routers: [", "routers: [{name: \"r2\", address: \"h:1\"}, "));
        assertTrue(
                assertThrows(IllegalArgumentException.class, () -> FleetConfigReader.read(few))
                        .getMessage()
                        .contains("together.shares"));
    }

    private InstanceSettings read(String text) throws IOException {
        return SubsystemSettings.read(Files.writeString(folder.resolve("settings.json5"), text));
    }

    @Test
    void eachErrorNamesItsSubjectAndARemedy() {
        List<CoordinationError> all =
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
                all.stream().map(one -> one.getClass().getName()).sorted().toList());
        for (CoordinationError error : all) {
            assertTrue(error.problem().contains("r7"), error.message());
            assertTrue(
                    error.remedy().length() > 30 && !error.message().endsWith("."),
                    error.message());
        }
    }
}
