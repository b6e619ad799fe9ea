package org.heathercourse.ops.ctl;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import com.google.protobuf.Descriptors.Descriptor;
import com.google.protobuf.Descriptors.EnumValueDescriptor;
import com.google.protobuf.Descriptors.FieldDescriptor;
import com.google.protobuf.Message;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.Locale;
import java.util.Set;
import org.heathercourse.ops.v1.Configuration;

/**
 * Reads declarations in YAML into the messages of the operator schema.
 *
 * <p>The fields are those of the schema, so that a field added there needs no code here. An unknown
 * field, a field given twice or a value of a wrong type is refused with file, line and field. Not
 * safe for use by several threads.
 */
public final class DeclarationReader {
    private final String mFile;
    private final JsonParser mParser;

    private DeclarationReader(String file, JsonParser parser) {
        mFile = file;
        mParser = parser;
    }

    /**
     * Reads a file.
     *
     * @param path the file
     * @return the configuration
     * @throws DeclarationException if the file cannot be read or is not a valid declaration
     */
    public static Configuration read(Path path) {
        String text;
        try {
            text = Files.readString(path);
        } catch (IOException e) {
            throw new DeclarationException(path.toString(), 0, "", "cannot be read: " + e);
        }
        return parse(path.toString(), text);
    }

    /**
     * Reads a text.
     *
     * @param name name of the file, for messages
     * @param text content in YAML
     * @return the configuration
     * @throws DeclarationException if the text is not a valid declaration
     */
    public static Configuration parse(String name, String text) {
        try (JsonParser parser = new YAMLFactory().createParser(text)) {
            DeclarationReader reader = new DeclarationReader(name, parser);
            Configuration.Builder out = Configuration.newBuilder();
            if (parser.nextToken() == null) {
                throw reader.problem("", "the file is empty, expected a mapping");
            }
            reader.readMessage(out, "");
            return out.build();
        } catch (JsonProcessingException e) {
            JsonLocation at = e.getLocation();
            int line = at == null ? 0 : at.getLineNr();
            throw new DeclarationException(
                    name, line, "", "is not valid YAML: " + e.getOriginalMessage());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void readMessage(Message.Builder out, String path) throws IOException {
        if (mParser.currentToken() != JsonToken.START_OBJECT) {
            throw problem(path, "is " + describe() + ", expected a mapping");
        }
        Descriptor type = out.getDescriptorForType();
        Set<String> seen = new HashSet<>();
        while (mParser.nextToken() != JsonToken.END_OBJECT) {
            String name = mParser.currentName();
            String fieldPath = path.isEmpty() ? name : path + "." + name;
            FieldDescriptor field = type.findFieldByName(name);
            if (field == null) {
                throw problem(fieldPath, "is not a known field, expected " + fieldNames(type));
            }
            if (!seen.add(name)) {
                throw problem(fieldPath, "is given twice, expected once");
            }
            mParser.nextToken();
            readField(out, field, fieldPath);
        }
    }

    private void readField(Message.Builder out, FieldDescriptor field, String path)
            throws IOException {
        if (!field.isRepeated()) {
            out.setField(field, readValue(out, field, path));
            return;
        }
        if (mParser.currentToken() != JsonToken.START_ARRAY) {
            throw problem(path, "is " + describe() + ", expected a list");
        }
        for (int i = 0; mParser.nextToken() != JsonToken.END_ARRAY; i++) {
            out.addRepeatedField(field, readValue(out, field, path + "[" + i + "]"));
        }
    }

    private Object readValue(Message.Builder out, FieldDescriptor field, String path)
            throws IOException {
        switch (field.getJavaType()) {
            case MESSAGE:
                Message.Builder inner = out.newBuilderForField(field);
                readMessage(inner, path);
                return inner.build();
            case STRING:
                requireScalar(path, "a text");
                return mParser.getText();
            case BOOLEAN:
                if (!mParser.currentToken().isBoolean()) {
                    throw problem(path, "is " + describe() + ", expected true or false");
                }
                return mParser.getBooleanValue();
            case ENUM:
                return readEnum(field, path);
            case DOUBLE:
                if (!mParser.currentToken().isNumeric()) {
                    throw problem(path, "is " + describe() + ", expected a number");
                }
                return mParser.getDoubleValue();
            case INT:
                return (int) readWhole(path, Integer.MAX_VALUE);
            default:
                return readWhole(path, Long.MAX_VALUE);
        }
    }

    private long readWhole(String path, long max) throws IOException {
        if (mParser.currentToken() != JsonToken.VALUE_NUMBER_INT) {
            throw problem(path, "is " + describe() + ", expected a whole number");
        }
        long value = mParser.getLongValue();
        if (value < 0 || value > max) {
            throw problem(path, "is " + value + ", expected 0 to " + max);
        }
        return value;
    }

    private EnumValueDescriptor readEnum(FieldDescriptor field, String path) throws IOException {
        requireScalar(path, "a name");
        String name = mParser.getText().toUpperCase(Locale.ROOT);
        EnumValueDescriptor value = field.getEnumType().findValueByName(name);
        if (value == null || value.getNumber() == 0) {
            StringBuilder names = new StringBuilder();
            for (EnumValueDescriptor known : field.getEnumType().getValues()) {
                if (known.getNumber() != 0) {
                    names.append(names.length() == 0 ? "" : ", ");
                    names.append(known.getName().toLowerCase(Locale.ROOT));
                }
            }
            throw problem(path, "is " + describe() + ", expected one of " + names);
        }
        return value;
    }

    private void requireScalar(String path, String expected) throws IOException {
        if (!mParser.currentToken().isScalarValue()
                || mParser.currentToken() == JsonToken.VALUE_NULL) {
            throw problem(path, "is " + describe() + ", expected " + expected);
        }
    }

    private String describe() throws IOException {
        return switch (mParser.currentToken()) {
            case START_OBJECT -> "a mapping";
            case START_ARRAY -> "a list";
            case VALUE_NULL -> "empty";
            default -> "\"" + mParser.getText() + "\"";
        };
    }

    private static String fieldNames(Descriptor type) {
        StringBuilder names = new StringBuilder("one of ");
        for (FieldDescriptor field : type.getFields()) {
            names.append(field.getIndex() == 0 ? "" : ", ").append(field.getName());
        }
        return names.toString();
    }

    private DeclarationException problem(String path, String message) {
        return new DeclarationException(
                mFile, mParser.currentTokenLocation().getLineNr(), path, message);
    }
}
