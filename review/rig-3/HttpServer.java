import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A server on a loopback address with a thread for each connection. */
final class HttpServer {
    /** Answers one request of a connection. Returns whether the connection stays open. */
    interface Handler {
        boolean handle(Connection connection, Http.Message request) throws IOException, InterruptedException;
    }

    /** A connection that was accepted. */
    static final class Connection {
        final Socket socket;
        final OutputStream out;

        /** What the handler keeps between the requests of this connection. */
        Object state;

        private Connection(Socket socket) throws IOException {
            this.socket = socket;
            this.out = socket.getOutputStream();
        }

        void send(byte[] bytes) throws IOException {
            out.write(bytes);
            out.flush();
        }
    }

    private final ServerSocket listener;
    private final Handler handler;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

    HttpServer(int port, Handler handler) throws IOException {
        this.handler = handler;
        listener = bind(port);
        start(this::accept);
    }

    /** Listens on a port, 0 for any. A port that was just in use may take a moment until it is free. */
    private static ServerSocket bind(int port) throws IOException {
        for (int attempt = 1; ; attempt++) {
            ServerSocket bound = new ServerSocket();
            try {
                bound.setReuseAddress(true);
                bound.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 512);
                return bound;
            } catch (IOException inUse) {
                bound.close();
                if (port == 0 || attempt == 100) throw inUse;
                pause();
            }
        }
    }

    private static void pause() {
        try {
            Thread.sleep(10);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    int port() {
        return listener.getLocalPort();
    }

    /** Ends the server and all its connections, as the end of its process does. */
    void close() throws IOException {
        listener.close();
        for (Socket socket : sockets) socket.close();
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                sockets.add(socket);
                start(() -> serve(socket));
            } catch (IOException closed) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            Connection connection = new Connection(socket);
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            while (true) {
                Http.Message request = Http.readRequest(in);
                if (request == null || !handler.handle(connection, request)) return;
            }
        } catch (IOException | InterruptedException ended) {
            // The other side has closed the connection, or the server ends.
        } finally {
            sockets.remove(socket);
        }
    }

    static Thread start(Runnable task) {
        Thread thread = new Thread(null, task, "rig", 256 * 1024);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
