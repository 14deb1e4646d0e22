import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A client's connection to a front machine, kept for many requests. */
final class Client implements AutoCloseable {
    private final Socket socket = new Socket();
    private final BufferedInputStream in;

    Client(int port, int timeoutMilliseconds) throws IOException {
        socket.connect(new InetSocketAddress("127.0.0.1", port), 1000);
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(timeoutMilliseconds);
        in = new BufferedInputStream(socket.getInputStream());
    }

    /** Returns the head of a request; each character becomes one byte. */
    static String head(String method, String target, String host, String id, String key, String... headers) {
        StringBuilder head = new StringBuilder(method + " " + target + " HTTP/1.1\r\nHost: " + host + "\r\n");
        head.append("Nutmegspring-Request-Id: ").append(id).append("\r\n");
        if (key != null) head.append("Authorization: Bearer ").append(key).append("\r\n");
        for (String header : headers) head.append(header).append("\r\n");
        return head.append("\r\n").toString();
    }

    /** Sends a request without waiting for its answer. */
    void send(String request) throws IOException {
        socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
    }

    Http.Message read() throws IOException {
        return Http.readAnswer(in);
    }

    Http.Message exchange(String request) throws IOException {
        send(request);
        return read();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
