import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Reads HTTP/1.1 messages. Text is taken byte by byte (ISO-8859-1), so that no byte is changed. */
final class Http {
    private Http() {
    }

    /** A request or an answer. */
    static final class Message {
        String startLine;
        final List<String[]> headers = new ArrayList<>();
        byte[] body = new byte[0];

        String header(String name) {
            for (String[] header : headers) if (header[0].equalsIgnoreCase(name)) return header[1];
            return null;
        }

        String method() {
            return startLine.split(" ")[0];
        }

        String target() {
            return startLine.split(" ")[1];
        }

        int status() {
            return Integer.parseInt(startLine.split(" ")[1]);
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** Returns the next request, or null at the end of the connection. */
    static Message readRequest(InputStream in) throws IOException {
        Message message = readHead(in);
        if (message != null) readBody(in, message, false);
        return message;
    }

    /** Returns the next answer. Throws EOFException when the connection ends before it is complete. */
    static Message readAnswer(InputStream in) throws IOException {
        Message message = readHead(in);
        if (message == null) throw new EOFException("no answer");
        readBody(in, message, true);
        return message;
    }

    static Message readHead(InputStream in) throws IOException {
        String line = readLine(in);
        while (line != null && line.isEmpty()) line = readLine(in);
        if (line == null) return null;
        Message message = new Message();
        message.startLine = line;
        while (true) {
            line = readLine(in);
            if (line == null) throw new EOFException("the head is not complete");
            if (line.isEmpty()) return message;
            int colon = line.indexOf(':');
            message.headers.add(new String[] {line.substring(0, colon).trim(), line.substring(colon + 1).trim()});
        }
    }

    private static void readBody(InputStream in, Message message, boolean isAnswer) throws IOException {
        String encoding = message.header("Transfer-Encoding");
        String length = message.header("Content-Length");
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        if (encoding != null) {
            while (true) {
                String line = readLine(in);
                if (line == null) throw new EOFException("the body is not complete");
                int size = Integer.parseInt(line.split(";")[0].trim(), 16);
                if (size == 0) break;
                body.write(readFully(in, size));
                readLine(in);
            }
            while (true) {
                String line = readLine(in);
                if (line == null) throw new EOFException("the body is not complete");
                if (line.isEmpty()) break;
            }
        } else if (length != null) {
            body.write(readFully(in, Integer.parseInt(length)));
        } else if (isAnswer) {
            body.write(in.readAllBytes());
        }
        message.body = body.toByteArray();
    }

    private static byte[] readFully(InputStream in, int size) throws IOException {
        byte[] bytes = in.readNBytes(size);
        if (bytes.length < size) throw new EOFException("the body is not complete");
        return bytes;
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        while (true) {
            int read = in.read();
            if (read < 0) {
                if (line.size() == 0) return null;
                throw new EOFException("a line is not complete");
            }
            if (read == '\n') break;
            if (read != '\r') line.write(read);
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    /** Returns an answer with a length. */
    static byte[] answer(int status, List<String> headers, byte[] body) {
        StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " Status\r\n");
        for (String header : headers) head.append(header).append("\r\n");
        head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.writeBytes(head.toString().getBytes(StandardCharsets.ISO_8859_1));
        out.writeBytes(body);
        return out.toByteArray();
    }
}
