package org.toucanlane.gateway.admin;

import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import jakarta.servlet.http.HttpServlet;
import jakarta.servlet.http.HttpServletRequest;
import jakarta.servlet.http.HttpServletResponse;
import java.io.IOException;
import org.toucanlane.gateway.lifecycle.Drain;

/** Drains the host on POST and responds when the drain is complete. Does not stop the process. Thread-safe. */
@Singleton
public final class DrainServlet extends HttpServlet {

    private static final long serialVersionUID = 1L;

    private final transient Drain drain;

    /** Creates a servlet. */
    @Inject
    public DrainServlet(Drain drain) {
        this.drain = drain;
    }

    @Override
    protected void doPost(HttpServletRequest request, HttpServletResponse response) throws IOException {
        int left = drain.run();
        response.setContentType("application/json");
        response.getWriter().write("{\"requestsLeft\":" + left + '}');
    }
}
