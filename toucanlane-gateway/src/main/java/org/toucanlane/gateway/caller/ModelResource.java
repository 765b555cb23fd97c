package org.toucanlane.gateway.caller;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import jakarta.inject.Inject;
import jakarta.servlet.http.HttpServletRequest;
import jakarta.ws.rs.GET;
import jakarta.ws.rs.HeaderParam;
import jakarta.ws.rs.POST;
import jakarta.ws.rs.Path;
import jakarta.ws.rs.core.Context;
import jakarta.ws.rs.core.HttpHeaders;
import jakarta.ws.rs.core.MediaType;
import jakarta.ws.rs.core.Response;
import java.io.InputStream;
import java.util.List;
import org.toucanlane.domain.outcome.RequestFailedException;
import org.toucanlane.gateway.configuration.ConfigurationManager;

/** The OpenAI-compatible API. Thread-safe. */
@Path("/v1")
public final class ModelResource {

    private static final ObjectMapper JSON = new ObjectMapper();

    private final CallerService service;
    private final ApiKeyAuthenticator authenticator;
    private final ConfigurationManager configuration;

    /** Creates a resource. */
    @Inject
    public ModelResource(CallerService service, ApiKeyAuthenticator authenticator, ConfigurationManager configuration) {
        this.service = service;
        this.authenticator = authenticator;
        this.configuration = configuration;
    }

    /** Creates a chat completion. */
    @POST
    @Path("/chat/completions")
    public Response chat(@Context HttpHeaders headers, @Context HttpServletRequest request, InputStream body) {
        return service.handleModelRequest("/v1/chat/completions", headers, new CallerConnection(request), body);
    }

    /** Creates a text completion. */
    @POST
    @Path("/completions")
    public Response complete(@Context HttpHeaders headers, @Context HttpServletRequest request, InputStream body) {
        return service.handleModelRequest("/v1/completions", headers, new CallerConnection(request), body);
    }

    /** Lists the models that the key's account may use. */
    @GET
    @Path("/models")
    public Response models(
            @HeaderParam(HttpHeaders.AUTHORIZATION) String authorization, @Context HttpServletRequest request) {
        try {
            String account = authenticator
                    .authenticate(authorization, request.getRemoteAddr())
                    .account();
            List<String> models = configuration.current().configuration().modelsFor(account);
            return Response.ok(toJson(models), MediaType.APPLICATION_JSON_TYPE).build();
        } catch (RequestFailedException e) {
            return ErrorResponses.toResponse(CallerContext.newRequestId(), e);
        }
    }

    private static String toJson(List<String> models) {
        ObjectNode list = JSON.createObjectNode();
        list.put("object", "list");
        ArrayNode data = list.putArray("data");
        models.forEach(model -> data.addObject()
                .put("id", model)
                .put("object", "model")
                .put("created", 0)
                .put("owned_by", "toucanlane"));
        return list.toString();
    }
}
