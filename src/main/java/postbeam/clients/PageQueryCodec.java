package postbeam.clients;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import postbeam.json.Json;
import postbeam.pages.PageError;
import postbeam.pages.PageRequest;
import postbeam.pages.PageResult;
import postbeam.pages.RowCodec;
import postbeam.pages.SortOrder;
import postbeam.slices.KeyRange;

/**
 * What pages add to the clients' form: order, page and cursor in a query; page and cursor in an
 * answer.
 */
final class PageQueryCodec {
    private PageQueryCodec() {}

    /** An IOException says what can't be used. */
    static PageRequest decode(Map<String, Object> query, int rowsMost) throws IOException {
        if (!(query.get("page") instanceof Integer rows) || rows < 1 || rows > rowsMost) {
            throw new IOException(
                    new PageError.InvalidRequestMember(
                                    "page", "it takes 1 to " + rowsMost + " rows")
                            .message());
        }
        SortOrder order;
        try {
            order = RowCodec.readOrder(Json.member(query, "order", List.class));
        } catch (IOException e) {
            throw new IOException(
                    new PageError.InvalidRequestMember("order", e.getMessage()).message(), e);
        }
        Object cursor = query.get("cursor");
        if (cursor != null && !(cursor instanceof String)) {
            throw new IOException(new PageError.InvalidCursor().message());
        }
        return new PageRequest(order, rows, (String) cursor);
    }

    static void encode(JsonGenerator json, PageResult given) throws IOException {
        json.writeObjectFieldStart("page");
        RowCodec.writeRows(json, given.page().rows());
        json.writeBooleanField("short", given.page().truncated());
        json.writeArrayFieldStart("missing");
        for (KeyRange keys : given.page().missingRanges()) {
            json.writeStartObject();
            json.writeNumberField("from", keys.from());
            json.writeNumberField("to", keys.to());
            json.writeEndObject();
        }
        json.writeEndArray();
        json.writeEndObject();
        if (given.cursor() != null) {
            json.writeStringField("cursor", given.cursor());
        }
    }
}
