import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/**
 * The way from a machine to the platform, which can be cut.
 *
 * While it is cut, the bytes of open connections are held up, and new connections do not get through. After that the
 * bytes arrive with the next retransmission of their sender, as TCP repeats them: 0.2, 0.6, 1.4, 3 and 6.2 seconds after
 * they were sent first. They are lost if their sender has reset the connection, but not if it has closed it.
 */
final class Proxy {
    private static final double FIRST_RETRANSMISSION = 0.2;

    private final ServerSocket listener;
    private final InetSocketAddress target;
    private boolean isCut;
    private double healedAt;

    Proxy(String target) throws IOException {
        String[] parts = target.split(":");
        this.target = new InetSocketAddress(parts[0], Integer.parseInt(parts[1]));
        listener = new ServerSocket();
        listener.bind(new InetSocketAddress("127.0.0.1", 0), 256);
        HttpServer.start(this::accept);
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    /** Cuts the way, or heals it. */
    synchronized void cut(boolean isCut) {
        if (this.isCut && !isCut) healedAt = now();
        this.isCut = isCut;
        notifyAll();
    }

    private synchronized boolean isCut() {
        return isCut;
    }

    private static double now() {
        return System.nanoTime() / 1e9;
    }

    /** Waits until bytes that were sent at a time have arrived. */
    private synchronized void awaitArrival(double sentAt) throws InterruptedException {
        if (!isCut && sentAt >= healedAt) return;
        while (isCut) wait();
        double retransmission = FIRST_RETRANSMISSION;
        double arrival = sentAt + retransmission;
        while (arrival < healedAt) {
            retransmission *= 2;
            arrival += retransmission;
        }
        while (now() < arrival) wait(Math.max(1, (long) ((arrival - now()) * 1000)));
    }

    private void accept() {
        while (true) {
            try {
                Socket near = listener.accept();
                near.setTcpNoDelay(true);
                HttpServer.start(() -> open(near));
            } catch (IOException closed) {
                return;
            }
        }
    }

    private void open(Socket near) {
        try {
            if (isCut()) {
                synchronized (this) {
                    while (isCut) wait();
                }
                near.close();
                return;
            }
            Socket far = new Socket();
            far.connect(target, 1000);
            far.setTcpNoDelay(true);
            new Way(near, far);
            new Way(far, near);
        } catch (IOException | InterruptedException failed) {
            closeQuietly(near);
        }
    }

    private static void closeQuietly(Socket socket) {
        try {
            socket.close();
        } catch (IOException alreadyClosed) {
            // Nothing is left to close.
        }
    }

    /** One direction of a connection. */
    private final class Way {
        private final Socket from;
        private final Socket to;
        private final List<byte[]> parts = new ArrayList<>();
        private final ArrayDeque<Double> times = new ArrayDeque<>();
        private boolean isOver;
        private boolean isReset;

        Way(Socket from, Socket to) {
            this.from = from;
            this.to = to;
            HttpServer.start(this::read);
            HttpServer.start(this::write);
        }

        private void read() {
            byte[] buffer = new byte[16 * 1024];
            try {
                InputStream in = from.getInputStream();
                while (true) {
                    int count = in.read(buffer);
                    if (count < 0) break;
                    add(java.util.Arrays.copyOf(buffer, count));
                }
            } catch (IOException reset) {
                synchronized (this) {
                    isReset = true;
                }
            }
            add(null);
        }

        private synchronized void add(byte[] part) {
            if (part == null) isOver = true; else parts.add(part);
            times.add(now());
            notifyAll();
        }

        private void write() {
            try {
                while (true) {
                    double sentAt;
                    synchronized (this) {
                        while (times.isEmpty()) wait();
                        sentAt = times.remove();
                    }
                    awaitArrival(sentAt);
                    synchronized (this) {
                        if (isReset || (parts.isEmpty() && isOver)) break;
                        to.getOutputStream().write(parts.remove(0));
                    }
                }
                if (isReset) to.close(); else to.shutdownOutput();
            } catch (IOException | InterruptedException ended) {
                closeQuietly(to);
            }
        }
    }
}
