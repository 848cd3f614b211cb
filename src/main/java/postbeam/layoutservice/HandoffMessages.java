package postbeam.layoutservice;

import static java.util.Map.entry;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.stream.Collectors;
import postbeam.json.Json;
import postbeam.migration.MigrationAction;
import postbeam.migration.RangeDigest;
import postbeam.slices.CoordinatorAction;
import postbeam.slices.HandoffCommand;

/**
 * The text of frames to and from data nodes. A command is the letter s and a line of command, move,
 * slice, first key, last key, version, the source's address or "-", and the term where terms are
 * kept; a node answers with the letter s, command, move, slice and one word. A request for digests
 * is the letter s, "SAY", a number, the slice and key ranges; a node answers with the same number
 * and slice and a JSON object.
 */
final class HandoffMessages {
    /** What a node says of a command. */
    enum CommandStatus {
        DONE,
        IN_PROGRESS,
        STALE_TERM
    }

    private static final char FRAME_TYPE = 's';
    private static final String DIGEST_REQUEST = "SAY";
    private static final String NO_SOURCE = "-";
    private static final int COMMAND_RESPONSE_WORDS = 4;
    private static final WireNames<HandoffCommand> COMMAND_NAMES =
            WireNames.of(
                    HandoffCommand.class,
                    "an unknown command",
                    entry(HandoffCommand.COPY, "COPY"),
                    entry(HandoffCommand.HOLD, "HOLD"),
                    entry(HandoffCommand.FENCE, "FENCE"),
                    entry(HandoffCommand.SERVE, "SERVE"),
                    entry(HandoffCommand.DROP, "DROP"));

    private HandoffMessages() {}

    /**
     * A command's frame.
     *
     * @param sourceAddress HOST:PORT of the node to copy from; null where there is none, or where
     *     it is not known
     * @param term the sender's term; 0 where terms are not kept
     */
    static String command(CoordinatorAction.SendCommand command, String sourceAddress, long term) {
        return FRAME_TYPE
                + COMMAND_NAMES.of(command.command())
                + " "
                + command.move()
                + " "
                + command.slice()
                + " "
                + command.keys().from()
                + " "
                + command.keys().to()
                + " "
                + command.version()
                + " "
                + (sourceAddress == null ? NO_SOURCE : sourceAddress)
                + (term > 0 ? " " + term : "");
    }

    /**
     * Reads a node's response to a command.
     *
     * @throws IOException it is no response to this command
     */
    static CommandStatus commandStatus(CoordinatorAction.SendCommand command, String response)
            throws IOException {
        String[] words = response.split(" ", 0);
        if (words.length < COMMAND_RESPONSE_WORDS
                || !words[0].equals(FRAME_TYPE + COMMAND_NAMES.of(command.command()))
                || !words[1].equals(String.valueOf(command.move()))
                || !words[2].equals(String.valueOf(command.slice()))) {
            throw new IOException("a response to another command: " + String.join(" ", words));
        }
        return switch (words[3]) {
            case "done" -> CommandStatus.DONE;
            case "stale" -> CommandStatus.STALE_TERM;
            default -> CommandStatus.IN_PROGRESS;
        };
    }

    /** The frame of a request for digests. */
    static String digestRequest(MigrationAction.RequestDigests request) {
        String ranges =
                request.ranges().stream()
                        .map(keys -> keys.from() + "-" + keys.to())
                        .collect(Collectors.joining(","));
        return digestPrefix(request) + ranges;
    }

    /**
     * Checks that a response is for this request for digests.
     *
     * @return the response's JSON
     * @throws IOException it is for another request
     */
    static String digestResponseBody(MigrationAction.RequestDigests request, String response)
            throws IOException {
        String prefix = digestPrefix(request);
        if (!response.startsWith(prefix)) {
            throw new IOException("a response to another request for digests");
        }
        return response.substring(prefix.length());
    }

    /**
     * Reads the digests from a response's JSON.
     *
     * @throws IOException a member is missing or of the wrong kind
     */
    static List<RangeDigest> digests(String body) throws IOException {
        return MigrationRecordCodec.readDigests(
                Json.parseObject(body.getBytes(StandardCharsets.UTF_8)));
    }

    private static String digestPrefix(MigrationAction.RequestDigests request) {
        return FRAME_TYPE
                + DIGEST_REQUEST
                + " "
                + request.requestId()
                + " "
                + request.slice()
                + " ";
    }
}
