package postbeam.peers;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.http.HttpResponse;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Flow;

/** Reads an answer of so many bytes at most: who sends more is cut off. */
final class BoundedBodySubscriber implements HttpResponse.BodySubscriber<byte[]> {
    private final int maxBytes;
    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    private final CompletableFuture<byte[]> body = new CompletableFuture<>();
    private Flow.Subscription upstream;

    BoundedBodySubscriber(int most) {
        this.maxBytes = most;
    }

    @Override
    public CompletionStage<byte[]> getBody() {
        return body;
    }

    @Override
    public void onSubscribe(Flow.Subscription subscription) {
        upstream = subscription;
        upstream.request(Long.MAX_VALUE);
    }

    @Override
    public void onNext(List<ByteBuffer> some) {
        for (ByteBuffer one : some) {
            if (body.isDone() || bytes.size() + one.remaining() > maxBytes) {
                upstream.cancel();
                body.completeExceptionally(
                        new IOException("it is longer than " + maxBytes + " bytes"));
                return;
            }
            byte[] read = new byte[one.remaining()];
            one.get(read);
            bytes.write(read, 0, read.length);
        }
    }

    @Override
    public void onError(Throwable failed) {
        body.completeExceptionally(failed);
    }

    @Override
    public void onComplete() {
        body.complete(bytes.toByteArray());
    }
}
