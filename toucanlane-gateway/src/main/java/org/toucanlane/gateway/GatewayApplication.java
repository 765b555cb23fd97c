package org.toucanlane.gateway;

import com.google.inject.Guice;
import com.google.inject.Injector;
import io.dropwizard.configuration.JsonConfigurationFactory;
import io.dropwizard.core.Application;
import io.dropwizard.core.server.AbstractServerFactory;
import io.dropwizard.core.setup.Bootstrap;
import io.dropwizard.core.setup.Environment;
import io.dropwizard.lifecycle.Managed;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.io.IOException;
import org.eclipse.jetty.util.component.LifeCycle;
import org.glassfish.jersey.server.ServerProperties;
import org.toucanlane.gateway.admin.DrainServlet;
import org.toucanlane.gateway.admin.ExplainServlet;
import org.toucanlane.gateway.admin.MetricsServlet;
import org.toucanlane.gateway.admin.StatusServlet;
import org.toucanlane.gateway.caller.HealthResource;
import org.toucanlane.gateway.caller.HostDirectoryResource;
import org.toucanlane.gateway.caller.ModelResource;
import org.toucanlane.gateway.caller.ServiceResource;
import org.toucanlane.gateway.lifecycle.Drain;
import org.toucanlane.gateway.lifecycle.GatewayRuntime;

/** The gateway daemon as a Dropwizard application. */
public class GatewayApplication extends Application<GatewaySettings> {

    @Override
    public String getName() {
        return "toucanlane-gateway";
    }

    @Override
    public void initialize(Bootstrap<GatewaySettings> bootstrap) {
        bootstrap.setConfigurationFactoryFactory(JsonConfigurationFactory::new);
    }

    @Override
    public void run(GatewaySettings settings, Environment environment) throws IOException {
        Injector injector = Guice.createInjector(new GatewayModule(settings));
        disableResponseBuffering(settings, environment);
        environment.jersey().register(injector.getInstance(ModelResource.class));
        environment.jersey().register(injector.getInstance(ServiceResource.class));
        environment.jersey().register(injector.getInstance(HostDirectoryResource.class));
        environment.jersey().register(injector.getInstance(HealthResource.class));
        registerAdminServlets(injector, environment);
        environment.lifecycle().manage(toManaged(injector.getInstance(GatewayRuntime.class)));
        drainBeforeStop(injector.getInstance(Drain.class), environment);
    }

    /** Disables what would delay the chunks of a streamed response: the content length buffer and compression. */
    private static void disableResponseBuffering(GatewaySettings settings, Environment environment) {
        environment.jersey().property(ServerProperties.OUTBOUND_CONTENT_LENGTH_BUFFER, 0);
        if (settings.getServerFactory() instanceof AbstractServerFactory server) {
            server.getGzipFilterFactory().setEnabled(false);
        }
    }

    private static void registerAdminServlets(Injector injector, Environment environment) {
        PrometheusMeterRegistry registry = injector.getInstance(PrometheusMeterRegistry.class);
        environment
                .admin()
                .addServlet("prometheus", new MetricsServlet(registry))
                .addMapping("/prometheus");
        environment
                .admin()
                .addServlet("status", injector.getInstance(StatusServlet.class))
                .addMapping("/status");
        environment
                .admin()
                .addServlet("explain", injector.getInstance(ExplainServlet.class))
                .addMapping("/explain");
        environment
                .admin()
                .addServlet("drain", injector.getInstance(DrainServlet.class))
                .addMapping("/drain");
    }

    private static Managed toManaged(GatewayRuntime runtime) {
        return new Managed() {
            @Override
            public void start() throws IOException, InterruptedException {
                runtime.start();
            }

            @Override
            public void stop() {
                runtime.stop();
            }
        };
    }

    /** Drains before the server stops accepting connections and the managed objects stop, as listeners are notified first. */
    private static void drainBeforeStop(Drain drain, Environment environment) {
        environment
                .lifecycle()
                .addServerLifecycleListener(server -> server.addEventListener(new LifeCycle.Listener() {
                    @Override
                    public void lifeCycleStopping(LifeCycle stopping) {
                        drain.run();
                    }
                }));
    }
}
