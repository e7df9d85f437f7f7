package io.daisyhoist.core.route;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.daisyhoist.core.model.ServiceName;

/**
 * Distributes the requests of each route over its services in proportion to their weights.
 *
 * <p>Uses smooth weighted round robin, so the proportions also hold over short sequences of requests. Confined to one
 * thread.
 */
public final class WeightedServiceSelector {
    private final Map<List<WeightedService>, double[]> currentWeightsByServices = new HashMap<>();
    private long version = -1;

    /**
     * Selects the service of the next request.
     *
     * @param configVersion version of the configuration of the route; a change resets the round robin
     */
    public ServiceName next(long configVersion, Route route) {
        List<WeightedService> services = route.services();
        if (services.size() == 1) {
            return services.get(0).service();
        }
        if (configVersion != version) {
            version = configVersion;
            currentWeightsByServices.clear();
        }
        double[] currentWeights =
                currentWeightsByServices.computeIfAbsent(services, any -> new double[services.size()]);
        int best = -1;
        int totalWeight = 0;
        for (int i = 0; i < currentWeights.length; i++) {
            int weight = services.get(i).weight();
            totalWeight += weight;
            currentWeights[i] += weight;
            if (weight > 0 && (best < 0 || currentWeights[i] > currentWeights[best])) {
                best = i;
            }
        }
        int selected = Math.max(best, 0);
        currentWeights[selected] -= totalWeight;
        return services.get(selected).service();
    }
}
