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
 * The text of handoff frames to and from data nodes; its fields are separated by single spaces. A
 * command is the letter s followed by the command, the move id, the slice, the first key
 * (inclusive), the last key (exclusive), the layout version, the address of the source node or "-",
 * and, where terms are in use, the term and the number of the command in the term. A node rejects a
 * command whose term and number are below those of one that it carried out for the slice. It
 * responds with the letter s, the command, the move id, the slice and one word of status. A digest
 * request is the letter s followed by "SAY", a request id, the slice and the key ranges; a node
 * responds with the same request id and slice and a JSON object.
 */
final class HandoffMessages {
    /** The status of a command in a node's response. */
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
                    "unknown handoff command",
                    entry(HandoffCommand.COPY, "COPY"),
                    entry(HandoffCommand.HOLD, "HOLD"),
                    entry(HandoffCommand.FENCE, "FENCE"),
                    entry(HandoffCommand.SERVE, "SERVE"),
                    entry(HandoffCommand.DROP, "DROP"));

    private HandoffMessages() {}

    /**
     * Returns the frame of a command.
     *
     * @param sourceAddress HOST:PORT of the node to copy from; null if the command has no source or
     *     its address is not known
     * @param term the sender's term; 0 where terms are not in use
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
                + (term > 0 ? " " + term + " " + command.number() : "");
    }

    /**
     * Reads a node's response to a command.
     *
     * @throws IOException the response belongs to another command
     */
    static CommandStatus commandStatus(CoordinatorAction.SendCommand command, String response)
            throws IOException {
        String[] words = response.split(" ", 0);
        if (words.length < COMMAND_RESPONSE_WORDS
                || !words[0].equals(FRAME_TYPE + COMMAND_NAMES.of(command.command()))
                || !words[1].equals(String.valueOf(command.move()))
                || !words[2].equals(String.valueOf(command.slice()))) {
            throw new IOException(
                    "response does not match the command "
                            + COMMAND_NAMES.of(command.command())
                            + " of move "
                            + command.move()
                            + " for slice "
                            + command.slice());
        }
        return switch (words[3]) {
            case "done" -> CommandStatus.DONE;
            case "stale" -> CommandStatus.STALE_TERM;
            default -> CommandStatus.IN_PROGRESS;
        };
    }

    /** Returns the frame of a digest request. */
    static String digestRequest(MigrationAction.RequestDigests request) {
        String ranges =
                request.ranges().stream()
                        .map(keys -> keys.from() + "-" + keys.to())
                        .collect(Collectors.joining(","));
        return digestPrefix(request) + ranges;
    }

    /**
     * Checks that a response belongs to this digest request.
     *
     * @return the JSON object in the response
     * @throws IOException the response belongs to another request
     */
    static String digestResponseBody(MigrationAction.RequestDigests request, String response)
            throws IOException {
        String prefix = digestPrefix(request);
        if (!response.startsWith(prefix)) {
            throw new IOException(
                    "response does not match the digest request "
                            + request.requestId()
                            + " for slice "
                            + request.slice());
        }
        return response.substring(prefix.length());
    }

    /**
     * Reads the digests from the JSON object in a response.
     *
     * @throws IOException a member is missing or of the wrong type
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
