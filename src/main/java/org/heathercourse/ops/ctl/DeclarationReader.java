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
 * <p>Fields are looked up in the descriptors of the schema, so that a field added there needs no
 * code here. An unknown field, a duplicate field or a value of a wrong type is rejected with file,
 * line and field. Not safe for use by several threads.
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
     * Parses a declaration.
     *
     * @param name name of the file, for error messages
     * @param text content of the file in YAML
     * @return the configuration
     * @throws DeclarationException if the text is not a valid declaration
     */
    public static Configuration parse(String name, String text) {
        try (JsonParser parser = new YAMLFactory().createParser(text)) {
            DeclarationReader reader = new DeclarationReader(name, parser);
            Configuration.Builder out = Configuration.newBuilder();
            if (parser.nextToken() == null) {
                throw reader.error("", "the file is empty, expected a mapping");
            }
            reader.readMessage(out, "");
            return out.build();
        } catch (JsonProcessingException e) {
            JsonLocation location = e.getLocation();
            int line = location == null ? 0 : location.getLineNr();
            throw new DeclarationException(
                    name, line, "", "is not valid YAML: " + e.getOriginalMessage());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void readMessage(Message.Builder out, String path) throws IOException {
        if (mParser.currentToken() != JsonToken.START_OBJECT) {
            throw error(path, "is " + describeToken() + ", expected a mapping");
        }
        Descriptor type = out.getDescriptorForType();
        Set<String> seen = new HashSet<>();
        while (mParser.nextToken() != JsonToken.END_OBJECT) {
            String name = mParser.currentName();
            String fieldPath = path.isEmpty() ? name : path + "." + name;
            FieldDescriptor field = type.findFieldByName(name);
            if (field == null) {
                throw error(fieldPath, "is not a known field, expected " + fieldNames(type));
            }
            if (!seen.add(name)) {
                throw error(fieldPath, "is given twice, expected once");
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
            throw error(path, "is " + describeToken() + ", expected a list");
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
                    throw error(path, "is " + describeToken() + ", expected true or false");
                }
                return mParser.getBooleanValue();
            case ENUM:
                return readEnum(field, path);
            case DOUBLE:
                if (!mParser.currentToken().isNumeric()) {
                    throw error(path, "is " + describeToken() + ", expected a number");
                }
                return mParser.getDoubleValue();
            case INT:
                return (int) readWholeNumber(path, Integer.MAX_VALUE);
            default:
                return readWholeNumber(path, Long.MAX_VALUE);
        }
    }

    private long readWholeNumber(String path, long max) throws IOException {
        if (mParser.currentToken() != JsonToken.VALUE_NUMBER_INT) {
            throw error(path, "is " + describeToken() + ", expected a whole number");
        }
        long value = mParser.getLongValue();
        if (value < 0 || value > max) {
            throw error(path, "is " + value + ", expected 0 to " + max);
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
            throw error(path, "is " + describeToken() + ", expected one of " + names);
        }
        return value;
    }

    private void requireScalar(String path, String expected) throws IOException {
        if (!mParser.currentToken().isScalarValue()
                || mParser.currentToken() == JsonToken.VALUE_NULL) {
            throw error(path, "is " + describeToken() + ", expected " + expected);
        }
    }

    private String describeToken() throws IOException {
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

    private DeclarationException error(String path, String message) {
        return new DeclarationException(
                mFile, mParser.currentTokenLocation().getLineNr(), path, message);
    }
}
