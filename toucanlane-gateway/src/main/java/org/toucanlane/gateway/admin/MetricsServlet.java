package org.toucanlane.gateway.admin;

import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import jakarta.servlet.http.HttpServlet;
import jakarta.servlet.http.HttpServletRequest;
import jakarta.servlet.http.HttpServletResponse;
import java.io.IOException;

/** Serves the metrics in the Prometheus text format. Thread-safe. */
public final class MetricsServlet extends HttpServlet {

    private static final long serialVersionUID = 1L;

    private final transient PrometheusMeterRegistry registry;

    /** Creates a servlet over {@code registry}. */
    public MetricsServlet(PrometheusMeterRegistry registry) {
        this.registry = registry;
    }

    @Override
    protected void doGet(HttpServletRequest request, HttpServletResponse response) throws IOException {
        response.setContentType("text/plain; version=0.0.4; charset=utf-8");
        response.getWriter().write(registry.scrape());
    }
}
