package postbeam.coordination;

/**
 * The count of one router process for one key and time bucket.
 *
 * @param key what is counted, such as a tenant's queries or a kind of attempt
 * @param version higher for each later entry of the same process, key and bucket
 * @param cap the part of its share of the limit that the router keeps for itself; never raised
 */
public record QuotaCounterEntry(
        ProcessIdentity process, String key, long bucket, long version, double count, double cap) {}
