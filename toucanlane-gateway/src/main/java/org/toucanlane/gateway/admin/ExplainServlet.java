package org.toucanlane.gateway.admin;

import com.fasterxml.jackson.databind.ObjectMapper;
import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import jakarta.servlet.http.HttpServlet;
import jakarta.servlet.http.HttpServletRequest;
import jakarta.servlet.http.HttpServletResponse;
import java.io.IOException;
import java.util.List;
import org.toucanlane.domain.configuration.FleetConfiguration;
import org.toucanlane.domain.outcome.RequestFailedException;
import org.toucanlane.gateway.configuration.ConfigurationManager;
import org.toucanlane.gateway.dispatch.DataCentreRouter;
import org.toucanlane.policy.routing.DataCentreView;

/**
 * Explains in which data centre a request of an account on a route would run now, and why, from the views that routing
 * uses. Thread-safe.
 */
@Singleton
public final class ExplainServlet extends HttpServlet {

    private static final long serialVersionUID = 1L;
    private static final ObjectMapper JSON = new ObjectMapper();

    private final transient ConfigurationManager configuration;
    private final transient DataCentreRouter dataCentreRouter;

    /** Creates a servlet. */
    @Inject
    public ExplainServlet(ConfigurationManager configuration, DataCentreRouter dataCentreRouter) {
        this.configuration = configuration;
        this.dataCentreRouter = dataCentreRouter;
    }

    @Override
    protected void doGet(HttpServletRequest request, HttpServletResponse response) throws IOException {
        response.setContentType("application/json");
        try {
            FleetConfiguration current = configuration.current().configuration();
            var account = current.accounts().get(request.getParameter("account"));
            var route = current.routes().get(request.getParameter("route"));
            if (account == null || route == null) {
                response.setStatus(HttpServletResponse.SC_NOT_FOUND);
                response.getWriter().write("{\"message\":\"no such account or route\"}");
                return;
            }
            List<DataCentreView> views =
                    dataCentreRouter.views(route.service(), current.allowedDataCentres(account, route));
            JSON.writeValue(response.getWriter(), dataCentreRouter.explain(views));
        } catch (RequestFailedException e) {
            response.setStatus(e.kind().status());
            response.getWriter().write("{\"message\":\"" + e.kind().code() + "\"}");
        }
    }
}
