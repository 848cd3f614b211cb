package postbeam.coordination;

/**
 * What one run of a router counted in one bucket of time.
 *
 * @param key what is counted: a tenant's queries, or a kind of attempts
 * @param version of two entries of one process, key and bucket the higher is newer
 * @param cap the most that the router will count there; never raised
 */
public record QuotaCounterEntry(
        ProcessIdentity process, String key, long bucket, long version, double count, double cap) {}
