package org.toucanlane.domain.route;

import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Maps requests to a service, either by model or by path and method.
 *
 * @param name unique name
 * @param service name of the service
 * @param models models that it serves; empty for a plain service
 * @param pathPrefix path prefix relative to the service; empty for a model route
 * @param methods accepted HTTP methods with their idempotency
 * @param accounts accounts that may use it; empty for all
 * @param open whether requests without an API key are accepted
 * @param allowedDataCentres data centres in which its requests may be executed
 */
public record Route(
        String name,
        String service,
        Set<String> models,
        String pathPrefix,
        Map<String, Idempotency> methods,
        Set<String> accounts,
        boolean open,
        Set<String> allowedDataCentres) {

    /** Creates a route. */
    public Route {
        models = Set.copyOf(models);
        methods = Map.copyOf(methods);
        accounts = Set.copyOf(accounts);
        allowedDataCentres = Set.copyOf(allowedDataCentres);
    }

    /** Returns whether {@code account} is permitted to use the route. */
    public boolean allows(String account) {
        return open || accounts.isEmpty() || accounts.contains(account);
    }

    /** Returns the idempotency of {@code method}, or empty if the route does not accept it. */
    public Optional<Idempotency> idempotencyOf(String method) {
        return Optional.ofNullable(methods.get(method));
    }

    /** Returns whether {@code path}, relative to the service, matches this route. */
    public boolean matchesPath(String path) {
        return models.isEmpty()
                && (path.equals(pathPrefix) || pathPrefix.isEmpty() || path.startsWith(pathPrefix + '/'));
    }
}
