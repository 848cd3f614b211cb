package postbeam.together;

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
import postbeam.errors.Explained;
import postbeam.errors.ExplainedException;
import postbeam.setup.Info;
import postbeam.setup.OwnSettings;
import postbeam.shared.Ballot;
import postbeam.shared.LeaseAsk;
import postbeam.shared.LeaseGrant;
import postbeam.shared.NodeKey;
import postbeam.shared.SharedError;
import postbeam.shared.Vote;
import postbeam.shared.Who;

class PeerFormTest {
    private static final Who A = new Who("a", 1_790_000_000_000L);
    private static final NodeKey NODE = new NodeKey("n:1", 7);

    @TempDir private Path folder;

    @Test
    void whatIsWrittenIsReadAgain() throws IOException {
        PeerForm.Asks asks =
                new PeerForm.Asks(
                        "d",
                        A,
                        List.of(new Ballot(3, 9, 4, A)),
                        Map.of(3, List.of(new LeaseAsk(NODE, A, 5, 0.25, 8))));
        assertEquals(asks, PeerForm.asks(PeerForm.write(asks)));
        PeerForm.Answers answers =
                new PeerForm.Answers(
                        new Who("b", 2),
                        List.of(new Vote(3, 9, 4, "b", true, 9), new Vote(4, 1, 1, "b", false, 2)),
                        Map.of(3, List.of(new LeaseGrant(NODE, A, 5, 0.125))));
        assertEquals(answers, PeerForm.answers(PeerForm.write(answers), A));
    }

    @Test
    void whatCantBeReadIsToldAndNothingElseHappens() {
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
                    () -> PeerForm.asks(bad.getBytes(StandardCharsets.UTF_8)),
                    bad);
        }
    }

    @Test
    void theSectionUnderDeployMakesAFleetAndBadOnesAreNamed()
            throws IOException, ExplainedException {
        String text = Files.readString(Path.of("deploy/postbeam.json5"));
        Together.Place place = TogetherForm.place(read(text));
        new Together(place).stop();
        assertEquals(Map.of("r1", "127.0.0.1:7070"), place.routers());
        Together.Place strange =
                TogetherForm.place(
                        read(
                                text.replace(
                                        "name: \"r1\",\n    routers",
                                        "name: \"r9\",\n    routers")));
        Explained error =
                assertThrows(ExplainedException.class, () -> new Together(strange)).error();
        assertEquals(new SharedError.Unnamed("r9"), error);
        Info few = read(text.replace("routers: [", "routers: [{name: \"r2\", address: \"h:1\"}, "));
        assertTrue(
                assertThrows(IllegalArgumentException.class, () -> TogetherForm.place(few))
                        .getMessage()
                        .contains("together.shares"));
    }

    private Info read(String text) throws IOException {
        return OwnSettings.read(Files.writeString(folder.resolve("settings.json5"), text));
    }

    @Test
    void eachKindOfErrorSaysWhatHappenedToWhatAndWhatToDo() {
        List<SharedError> all =
                List.of(
                        new SharedError.OtherTerms("r7"),
                        new SharedError.NameTwice("r7", 1, 2),
                        new SharedError.Stranger("r7"),
                        new SharedError.Garbled("r7", "not JSON"),
                        new SharedError.Silent("r7", "refused", 50),
                        new SharedError.Unnamed("r7"));
        assertEquals(
                Stream.of(SharedError.class.getPermittedSubclasses())
                        .map(Class::getName)
                        .sorted()
                        .toList(),
                all.stream().map(one -> one.getClass().getName()).sorted().toList());
        for (SharedError error : all) {
            assertTrue(error.happened().contains("r7"), error.line());
            assertTrue(error.advice().length() > 30 && !error.line().endsWith("."), error.line());
        }
    }
}
