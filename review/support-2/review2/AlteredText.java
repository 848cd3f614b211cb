package review2;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Bad clients send bodies that are not UTF-8, and so can't be read as JSON. They get an error, and
 * no data node gets a part whose text nobody sent.
 */
final class AlteredText implements Case.Body {
    @Override
    public boolean run(Trace trace, Path folder, boolean trouble) throws Exception {
        Discovery discovery = new Discovery(trace);
        List<DataNode> nodes = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            DataNode node = new DataNode("s-" + i, trace, (id, text) -> 20);
            nodes.add(node);
            discovery.set(node.entry("up"));
        }
        Map<String, byte[]> texts = texts(trouble);
        try (Router router =
                new Router(trace, folder, discovery, new Router.Setup(192, 1, 4, null))) {
            router.awaitReady(30);
            for (Map.Entry<String, byte[]> text : texts.entrySet()) {
                for (String vertical : List.of("search", "hold")) {
                    String id = text.getKey() + "-" + vertical;
                    Exchange one = new Exchange(trace, router.port, id, true);
                    trace.line("query " + id + " is sent, " + DataNode.printable(text.getValue()));
                    one.send(Exchange.query(vertical, id, 3000, 0, text.getValue()));
                    one.await(3550);
                    if (one.status != 200 && isText(text.getKey())) {
                        throw new Case.CannotRun(id + " was not served");
                    }
                }
            }
            Thread.sleep(500);
        }
        return kept(trace, nodes, texts);
    }

    /** Whether the text of this name can be read. */
    private static boolean isText(String name) {
        return name.equals("plain") || name.equals("euro");
    }

    private static Map<String, byte[]> texts(boolean trouble) {
        Map<String, byte[]> texts = new TreeMap<>();
        texts.put("plain", "c41e77d0".getBytes(StandardCharsets.US_ASCII));
        texts.put("euro", "\u20ac".getBytes(StandardCharsets.UTF_8));
        if (trouble) {
            // Forms that the standard of UTF-8 forbids: too long for their character, or beyond
            // the last one.
            texts.put("overlong-nul", new byte[] {(byte) 0xc0, (byte) 0x80});
            texts.put("overlong-letter", new byte[] {(byte) 0xc1, (byte) 0xa1, 'd', 'm', 'i', 'n'});
            // An escape that stands for half a character, which no text of bytes can carry.
            texts.put("half-character", "\\ud800".getBytes(StandardCharsets.US_ASCII));
            texts.put("beyond", new byte[] {(byte) 0xf4, (byte) 0x90, (byte) 0x80, (byte) 0x80});
        }
        return texts;
    }

    private static boolean kept(Trace trace, List<DataNode> nodes, Map<String, byte[]> texts) {
        boolean kept = true;
        for (DataNode node : nodes) {
            for (DataNode.Part part : node.parts) {
                byte[] sent = texts.get(part.id().substring(0, part.id().lastIndexOf('-')));
                if (!Arrays.equals(sent, part.text())) {
                    kept = false;
                    trace.say(
                            node.name
                                    + " got part "
                                    + part.id()
                                    + " with text "
                                    + DataNode.printable(part.text())
                                    + ", but the client sent "
                                    + DataNode.printable(sent));
                }
            }
        }
        return kept;
    }
}
