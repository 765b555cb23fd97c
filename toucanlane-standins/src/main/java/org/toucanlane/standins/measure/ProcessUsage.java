package org.toucanlane.standins.measure;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * What the system says that a process uses. Linux only.
 *
 * @param residentBytes memory that it holds now
 * @param cpuSeconds processor time that it has used
 */
record ProcessUsage(long residentBytes, double cpuSeconds) {

    private static final double TICKS_PER_SECOND = 100;
    private static final long BYTES_PER_KILOBYTE = 1024;
    private static final int USER_TICKS_FIELD = 11;
    private static final int SYSTEM_TICKS_FIELD = 12;

    static ProcessUsage read(long pid) throws IOException {
        Path folder = Path.of("/proc", Long.toString(pid));
        List<String> status = Files.readAllLines(folder.resolve("status"));
        long resident = status.stream()
                .filter(line -> line.startsWith("VmRSS:"))
                .mapToLong(line -> Long.parseLong(line.replaceAll("[^0-9]", "")))
                .sum();
        String stat = Files.readString(folder.resolve("stat"));
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        long ticks = Long.parseLong(fields[USER_TICKS_FIELD]) + Long.parseLong(fields[SYSTEM_TICKS_FIELD]);
        return new ProcessUsage(resident * BYTES_PER_KILOBYTE, ticks / TICKS_PER_SECOND);
    }

    double residentMegabytes() {
        return Math.round(residentBytes / 1e5) / 10.0;
    }
}
