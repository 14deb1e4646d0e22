import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * The settings files of two of four machines change three times, and each time the processes there, which have just
 * been started, get SIGHUP. A process that ends is started again after a short delay, as the platform does.
 */
public final class HangUpAtStart {
    private static final int CHANGES = 3;

    /** From the start of a process until its SIGHUP. */
    private static final long AFTER_START = 200;
    private static final long RESTART_DELAY = 500;

    /** Whether this process was started with an ignored SIGHUP, signal 1. */
    private static boolean isHangUpIgnored() throws IOException {
        for (String line : Files.readAllLines(Path.of("/proc/self/status"))) {
            if (line.startsWith("SigIgn:")) return (Long.parseUnsignedLong(line.substring(7).trim(), 16) & 1) != 0;
        }
        return false;
    }

    public static void main(String[] arguments) throws IOException {
        Rig rig = new Rig(arguments[0]);
        if (isHangUpIgnored()) rig.cannotRun("SIGHUP is ignored here, which child processes inherit");
        Rig.Store store = rig.startStore();
        Rig.Server cloud = rig.startCloud();
        store.put("config", "main", Rig.config(7, ""));
        Rig.Gateway[] gateways = {
            rig.createGateway("frontend-rennes-1", "rennes", store, cloud),
            rig.createGateway("frontend-rennes-2", "rennes", store, cloud),
        };
        Rig.Gateway[] others = {
            rig.createGateway("frontend-brest-1", "brest", store, cloud),
            rig.createGateway("frontend-brest-2", "brest", store, cloud),
        };
        for (Rig.Gateway gateway : others) gateway.start();
        for (Rig.Gateway gateway : others) {
            if (!gateway.awaitReady(20_000)) rig.cannotRun(gateway.name + " is not ready");
        }
        int[] ends = new int[gateways.length];
        for (Rig.Gateway gateway : gateways) gateway.start();
        for (int change = 0; change < CHANGES; change++) {
            Rig.pause(AFTER_START);
            for (Rig.Gateway gateway : gateways) {
                gateway.touchSettings();
                if (rig.hasTrouble) gateway.signal("HUP");
            }
            Rig.pause(RESTART_DELAY);
            for (int number = 0; number < gateways.length; number++) {
                Rig.Gateway gateway = gateways[number];
                if (gateway.isAlive()) continue;
                ends[number]++;
                rig.note(gateway.name + ": its process ended with exit code " + gateway.exitCode());
                gateway.start();
            }
        }
        int machines = 0;
        for (int count : ends) if (count >= CHANGES) machines++;
        for (Rig.Gateway gateway : gateways) {
            if (!gateway.awaitReady(20_000)) rig.cannotRun(gateway.name + " is not ready without a signal");
        }
        if (rig.hasTrouble) {
            // A signal to a process that serves is harmless, so that the settings are not at fault.
            for (Rig.Gateway gateway : gateways) gateway.signal("HUP");
            Rig.pause(1_000);
            for (Rig.Gateway gateway : gateways) {
                rig.note(gateway.name + ": after a SIGHUP while it serves: " + (gateway.isAlive() ? "alive" : "gone"));
            }
        }
        rig.conclude(machines >= 2, "on " + machines + " of 4 machines in use the process ended by itself three "
            + "times; ends " + ends[0] + " and " + ends[1]);
    }
}
