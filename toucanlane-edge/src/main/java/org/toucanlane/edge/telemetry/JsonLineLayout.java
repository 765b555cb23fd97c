package org.toucanlane.edge.telemetry;

import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.spi.ThrowableProxyUtil;
import ch.qos.logback.core.LayoutBase;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import org.slf4j.event.KeyValuePair;

/** Formats each log event as one line of JSON, with its key-value pairs as fields. Thread-safe. */
public final class JsonLineLayout extends LayoutBase<ILoggingEvent> {

    private static final JsonFactory JSON = new JsonFactory();

    @Override
    public String doLayout(ILoggingEvent event) {
        StringWriter text = new StringWriter(256);
        try (JsonGenerator json = JSON.createGenerator(text)) {
            json.writeStartObject();
            json.writeNumberField("at", event.getTimeStamp());
            json.writeStringField("level", event.getLevel().toString());
            json.writeStringField("logger", event.getLoggerName());
            json.writeStringField("event", event.getFormattedMessage());
            if (event.getKeyValuePairs() != null) {
                for (KeyValuePair pair : event.getKeyValuePairs()) {
                    write(json, pair);
                }
            }
            if (event.getThrowableProxy() != null) {
                json.writeStringField("error", ThrowableProxyUtil.asString(event.getThrowableProxy()));
            }
            json.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException("writing to a StringWriter failed", e);
        }
        return text.append('\n').toString();
    }

    private static void write(JsonGenerator json, KeyValuePair pair) throws IOException {
        Object value = pair.value;
        if (value instanceof Long || value instanceof Integer) {
            json.writeNumberField(pair.key, ((Number) value).longValue());
        } else if (value instanceof Double number && Double.isFinite(number)) {
            json.writeNumberField(pair.key, Math.round(number * 100) / 100.0);
        } else if (value instanceof Boolean flag) {
            json.writeBooleanField(pair.key, flag);
        } else {
            json.writeStringField(pair.key, String.valueOf(value));
        }
    }
}
