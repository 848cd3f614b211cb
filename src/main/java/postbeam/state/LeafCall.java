package postbeam.state;

import java.time.Duration;

/** One sending of a part to a data node. */
public final class LeafCall {
    public final Part part;
    public final DataNode node;
    public final Duration sentAt;
    /** Null: until the client gives up. */
    public final Duration timeout;
    /** Place among the leaf calls of the part, from 0. */
    public final int number;
    /** Its bytes may not go later than this, however long they wait for their turn; null: at any time. */
    public Duration sendBy;
    /** It went ahead of its query's other parts. */
    public boolean scout;
    public boolean cancelAsked;
    public boolean ended;

    public LeafCall(Part part, DataNode node, Duration sentAt, Duration timeout) {
        this.part = part;
        this.node = node;
        this.sentAt = sentAt;
        this.timeout = timeout;
        this.number = part.calls.size();
        part.calls.add(this);
        part.out.add(this);
        node.out.add(this);
    }

    public void end() {
        ended = true;
        part.out.remove(this);
        node.out.remove(this);
    }
}
