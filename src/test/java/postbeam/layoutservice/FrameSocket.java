package postbeam.layoutservice;

import java.io.Closeable;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;

/** A data node's side of a connection that carries frames with a length of four bytes. */
final class FrameSocket implements Closeable {
    private final Socket socket;
    private final DataInputStream in;

    private FrameSocket(Socket socket) throws IOException {
        this.socket = socket;
        in = new DataInputStream(socket.getInputStream());
    }

    static FrameSocket accept(ServerSocket server) throws IOException {
        return new FrameSocket(server.accept());
    }

    /** Reads a frame and returns its bytes with the length before them. */
    byte[] readFrame() throws IOException {
        byte[] header = in.readNBytes(Integer.BYTES);
        int length = ByteBuffer.wrap(header).order(ByteOrder.LITTLE_ENDIAN).getInt();
        return ByteBuffer.allocate(header.length + length)
                .put(header)
                .put(in.readNBytes(length))
                .array();
    }

    /** Reads a frame and returns its text. */
    String readText() throws IOException {
        byte[] frame = readFrame();
        return new String(
                frame, Integer.BYTES, frame.length - Integer.BYTES, StandardCharsets.UTF_8);
    }

    void writeText(String text) throws IOException {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        socket.getOutputStream()
                .write(
                        ByteBuffer.allocate(Integer.BYTES + bytes.length)
                                .order(ByteOrder.LITTLE_ENDIAN)
                                .putInt(bytes.length)
                                .put(bytes)
                                .array());
    }

    /** Sends the end of the stream; the connection stays open in the other direction. */
    void endOutput() throws IOException {
        socket.shutdownOutput();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
