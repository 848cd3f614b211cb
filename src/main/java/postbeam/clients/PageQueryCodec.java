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
 * Codec for the members of ordered pages: order, page and cursor in requests, page and cursor in
 * responses.
 */
final class PageQueryCodec {
    private PageQueryCodec() {}

    /**
     * Decodes the page request of a query.
     *
     * @param maxRows largest number of rows that a request may state
     * @throws BadRequestException if a member is invalid; the message names it
     */
    static PageRequest decode(Map<String, Object> query, int maxRows) throws BadRequestException {
        if (!(query.get("page") instanceof Integer rows) || rows < 1 || rows > maxRows) {
            throw new BadRequestException(
                    new PageError.InvalidRequestMember("page", "it takes 1 to " + maxRows + " rows")
                            .message());
        }
        SortOrder order;
        try {
            order = RowCodec.readOrder(Json.member(query, "order", List.class));
        } catch (IOException e) {
            throw new BadRequestException(
                    new PageError.InvalidRequestMember("order", e.getMessage()).message(), e);
        }
        Object cursor = query.get("cursor");
        if (cursor != null && !(cursor instanceof String)) {
            throw new BadRequestException(new PageError.InvalidCursor().message());
        }
        return new PageRequest(order, rows, (String) cursor);
    }

    static void encode(JsonGenerator json, PageResult result) throws IOException {
        json.writeObjectFieldStart("page");
        RowCodec.writeRows(json, result.page().rows());
        json.writeBooleanField("short", result.page().truncated());
        json.writeArrayFieldStart("missing");
        for (KeyRange keys : result.page().missingRanges()) {
            json.writeStartObject();
            json.writeNumberField("from", keys.from());
            json.writeNumberField("to", keys.to());
            json.writeEndObject();
        }
        json.writeEndArray();
        json.writeEndObject();
        if (result.cursor() != null) {
            json.writeStringField("cursor", result.cursor());
        }
    }
}
