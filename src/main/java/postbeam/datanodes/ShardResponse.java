package postbeam.datanodes;

import postbeam.model.AttemptOutcome;

/**
 * What a data node answered to one attempt.
 *
 * @param attemptId id that the attempt was sent with
 * @param outcome how it ended
 * @param value text that the node gave; empty unless it succeeded
 */
@SuppressWarnings("ArrayRecordComponent") // Never compared; the value is handed on as it came.
record ShardResponse(String attemptId, AttemptOutcome outcome, byte[] value) {}
