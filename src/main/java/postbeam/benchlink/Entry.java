package postbeam.benchlink;

import postbeam.state.Readiness;

/** A line of a numbered host list, which belongs to no instance. */
record Entry(String zone, int cell, String address, double size, long startedMicros, Readiness readiness) {
    static Entry read(Lines in) {
        String zone = in.field();
        int cell = (int) in.number(0);
        String address = in.text();
        String size = in.field();
        long started = in.number(0);
        in.field();
        Readiness readiness = switch ((int) in.number()) {
            case 0 -> Readiness.GONE;
            case 1 -> Readiness.READY;
            case 2 -> Readiness.DRAINING;
            default -> throw new IllegalArgumentException("unknown readiness");
        };
        return new Entry(zone, cell, address, size == null ? 1 : Double.parseDouble(size), started, readiness);
    }
}
