package postbeam.datanodes;

import postbeam.model.AttemptOutcome;

/**
 * A data node's response to one attempt.
 *
 * @param attemptId id of the attempt
 * @param outcome outcome of the attempt
 * @param value result text in UTF-8; empty unless the attempt succeeded
 */
@SuppressWarnings("ArrayRecordComponent") // Never compared; the value is passed on unchanged.
record ShardResponse(String attemptId, AttemptOutcome outcome, byte[] value) {}
