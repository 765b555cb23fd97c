package org.toucanlane.standins.measure;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * Resource usage of a process as reported by {@code /proc}. Linux only.
 *
 * @param residentBytes current resident set size
 * @param cpuSeconds user and system CPU time since the process started
 */
record ProcessUsage(long residentBytes, double cpuSeconds) {

    private static final double TICKS_PER_SECOND = 100;
    private static final long BYTES_PER_KILOBYTE = 1024;
    private static final int USER_TICKS_FIELD = 11;
    private static final int SYSTEM_TICKS_FIELD = 12;

    static ProcessUsage read(long pid) throws IOException {
        Path procDirectory = Path.of("/proc", Long.toString(pid));
        List<String> status = Files.readAllLines(procDirectory.resolve("status"));
        long resident = status.stream()
                .filter(line -> line.startsWith("VmRSS:"))
                .mapToLong(line -> Long.parseLong(line.replaceAll("[^0-9]", "")))
                .sum();
        String stat = Files.readString(procDirectory.resolve("stat"));
        String[] statFields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        long ticks = Long.parseLong(statFields[USER_TICKS_FIELD]) + Long.parseLong(statFields[SYSTEM_TICKS_FIELD]);
        return new ProcessUsage(resident * BYTES_PER_KILOBYTE, ticks / TICKS_PER_SECOND);
    }

    double residentMegabytes() {
        return Math.round(residentBytes / 1e5) / 10.0;
    }
}
