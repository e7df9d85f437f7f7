package io.daisyhoist.core.route;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.daisyhoist.core.model.ServiceName;

/**
 * Divides the requests of each route among its services in proportion to their weights.
 *
 * <p>Uses smooth weighted round robin, so that the shares hold over short spans too. Confined to one thread.
 */
public final class WeightedChoice {
    private final Map<List<WeightedService>, double[]> credits = new HashMap<>();
    private long version = -1;

    /**
     * Chooses the service of the next request.
     *
     * @param configVersion version that the route belongs to; another one than before forgets the earlier choices
     */
    public ServiceName next(long configVersion, Route route) {
        List<WeightedService> services = route.services();
        if (services.size() == 1) {
            return services.get(0).service();
        }
        if (configVersion != version) {
            version = configVersion;
            credits.clear();
        }
        double[] credit = credits.computeIfAbsent(services, any -> new double[services.size()]);
        int best = -1;
        int total = 0;
        for (int i = 0; i < credit.length; i++) {
            int weight = services.get(i).weight();
            total += weight;
            credit[i] += weight;
            if (weight > 0 && (best < 0 || credit[i] > credit[best])) {
                best = i;
            }
        }
        int chosen = Math.max(best, 0);
        credit[chosen] -= total;
        return services.get(chosen).service();
    }
}
