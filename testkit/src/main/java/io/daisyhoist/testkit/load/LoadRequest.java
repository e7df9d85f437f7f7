package io.daisyhoist.testkit.load;

/**
 * One request of the load client. Immutable.
 *
 * @param id unique id of the request
 * @param method HTTP method
 * @param service service
 * @param key key, empty without one
 * @param firstDaemon index of the daemon that gets the first send
 */
record LoadRequest(String id, String method, String service, String key, int firstDaemon) {
    boolean isRepeatable() {
        return method.equals("GET");
    }

    String path() {
        return "/s/" + service + (key.isEmpty() ? "" : "/k/" + key) + "/state";
    }

    /** Returns the id of the n-th send, so that the execution log tells the sends of a request apart. */
    String sendId(int send) {
        return id + "." + send;
    }
}
