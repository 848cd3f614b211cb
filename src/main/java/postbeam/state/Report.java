package postbeam.state;

/**
 * What a data node told of its load with an answer, late and not exact; what it does not tell is null. Busy is the
 * share of its cores in use, held the requests that it holds, and service the seconds that one lately took, without
 * waiting.
 */
public record Report(Double busy, Double held, Double service) { }
