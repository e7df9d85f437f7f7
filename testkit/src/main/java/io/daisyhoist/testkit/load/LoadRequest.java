package io.daisyhoist.testkit.load;

/**
 * One request of the load client. Immutable.
 *
 * @param id unique id of the request
 * @param method HTTP method
 * @param service service
 * @param key key, empty without one
 * @param firstDaemon index of the daemon that receives the first send
 */
record LoadRequest(String id, String method, String service, String key, int firstDaemon) {
    boolean isIdempotent() {
        return method.equals("GET");
    }

    String path() {
        return "/s/" + service + (key.isEmpty() ? "" : "/k/" + key) + "/state";
    }

    /** Returns the id of the n-th send, which distinguishes the sends of a request in the execution log. */
    String sendId(int send) {
        return id + "." + send;
    }
}
