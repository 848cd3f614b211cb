package postbeam.coordination;

/**
 * What one run of a router counted under a key (a member, or a kind of call) in one bucket of time,
 * and the most that it will count there: a promise that is never raised. Of two of one run, key and
 * bucket the higher version is newer.
 */
public record QuotaCounterEntry(
        ProcessIdentity process, String key, long bucket, long version, double count, double cap) {}
