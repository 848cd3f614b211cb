package postbeam.clients;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import postbeam.pages.Order;
import postbeam.pages.PageAsked;
import postbeam.pages.PageError;
import postbeam.pages.PageGiven;
import postbeam.pages.RowForm;
import postbeam.setup.Json;
import postbeam.slices.KeyRange;

/**
 * What pages add to the clients' form: order, page and cursor in a query; page and cursor in an
 * answer.
 */
final class PageQueryForm {
    private PageQueryForm() {}

    /** An IOException says what can't be used. */
    static PageAsked read(Map<String, Object> query, int rowsMost) throws IOException {
        if (!(query.get("page") instanceof Integer rows) || rows < 1 || rows > rowsMost) {
            throw new IOException(
                    new PageError.BadRequest("page", "it takes 1 to " + rowsMost + " rows").line());
        }
        Order order;
        try {
            order = RowForm.order(Json.member(query, "order", List.class));
        } catch (IOException e) {
            throw new IOException(new PageError.BadRequest("order", e.getMessage()).line(), e);
        }
        Object cursor = query.get("cursor");
        if (cursor != null && !(cursor instanceof String)) {
            throw new IOException(new PageError.Altered().line());
        }
        return new PageAsked(order, rows, (String) cursor);
    }

    static void write(JsonGenerator json, PageGiven given) throws IOException {
        json.writeObjectFieldStart("page");
        RowForm.rows(json, given.page().rows());
        json.writeBooleanField("short", given.page().isShort());
        json.writeArrayFieldStart("missing");
        for (KeyRange keys : given.page().missing()) {
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
