import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;

/**
 * Open connections to the store that carry nothing for some seconds go silent for good, as behind a firewall that forgets
 * idle connections; new ones work. Then the operator moves a route to another service, and evacuates a zone.
 */
final class CaseSilent {
    private static final double CONTACT_S = 3.0;
    private static final double CONFIG_APPLY_S = 2.0;
    private static final double EVACUATE_S = 5.0;
    private static final String EVACUATED = "zone-b";

    public static void main(String[] args) throws Exception {
        Fleet fleet = new Fleet(Path.of(args[0]));
        try {
            run(fleet);
        } catch (Exception e) {
            Fleet.finish(fleet, 2, e.toString());
        }
    }

    private static Fleet.Config config(int version, String service) {
        return new Fleet.Config(version)
                .route("r-one", "one.example", "/one/", "idempotent", service, 1500)
                .route("r-two", "two.example", "/two/", "idempotent", "beta", 1500)
                .service("alpha", false)
                .service("beta", false);
    }

    private static void run(Fleet fleet) throws Exception {
        String[] zones = {"zone-a", "zone-b", "zone-c"};
        for (int i = 0; i < 6; i++) {
            fleet.add(zones[i % 3], i < 3 ? "alpha" : "beta");
        }
        fleet.configure(config(7, "alpha"));
        fleet.startAll();
        List<Worker> workers = new ArrayList<>();
        for (Machine machine : fleet.machines) {
            workers.add(new Worker(machine, "i-" + machine.node, 6, false, fleet.log));
        }
        fleet.awaitReady(25);
        Thread.sleep(6000);
        fleet.configure(config(8, "alpha"));
        // The watches wait 10 s; this is 3 s after they have been sent anew.
        Thread.sleep(13_000);
        double silentAt = fleet.log.seconds();
        if (fleet.trouble) {
            fleet.log.line("silent for good: " + fleet.storeLink.silence(2_000)
                    + " open connections to the store that have carried nothing for 2 s");
        }
        Thread.sleep(1_000);
        double acknowledged = fleet.log.seconds();
        fleet.configure(config(9, "beta"));
        fleet.store.operatorPut("op/evacuate/" + EVACUATED, "{}");
        fleet.log.line("operator: op/evacuate/" + EVACUATED + " is acknowledged");
        Set<String> judgedRoute = new HashSet<>();
        while (fleet.log.seconds() < acknowledged + 14) {
            for (Machine machine : fleet.machines) {
                for (String host : List.of("one", "two")) {
                    double sent = fleet.log.seconds();
                    Client answer = Client.request(
                            machine, "GET", host + ".example", "/" + host + "/x?ms=5", 1500, "", new byte[0]);
                    boolean judged = host.equals("one")
                            && sent > acknowledged + CONFIG_APPLY_S
                            && sent > silentAt + CONTACT_S;
                    if (judged) {
                        judgedRoute.add(answer.id);
                    }
                    fleet.log.line(String.format(Locale.ROOT,
                            "request %s for /%s/ at %s sent %.3f s after the acknowledgement: %d %s", answer.id, host,
                            machine.node, sent - acknowledged, answer.status, answer.text));
                }
            }
            Thread.sleep(100);
        }
        int stale = 0;
        int evacuated = 0;
        double last = 0;
        for (Worker worker : workers) {
            synchronized (worker.runs) {
                for (Worker.Run run : worker.runs) {
                    boolean old = worker.service.equals("alpha") && judgedRoute.contains(run.id());
                    boolean late = worker.zone.equals(EVACUATED)
                            && run.atSeconds() > acknowledged + EVACUATE_S
                            && run.atSeconds() > silentAt + CONTACT_S;
                    stale += old ? 1 : 0;
                    evacuated += late ? 1 : 0;
                    if (old || late) {
                        last = Math.max(last, run.atSeconds() - acknowledged);
                        fleet.log.line(String.format(Locale.ROOT, "run of %s at %s %.3f s after the acknowledgement: %s",
                                run.id(), worker.id, run.atSeconds() - acknowledged,
                                old ? "by the old service" : "in the evacuated zone"));
                    }
                }
            }
        }
        String text = String.format(Locale.ROOT,
                "CONFIG: %d of %d requests sent later than config-apply-ms were run by the old service;"
                        + " EVAC: %d requests reached workers of the evacuated zone later than evacuate-ms;"
                        + " the last %.1f s after the acknowledgement",
                stale, judgedRoute.size(), evacuated, last);
        Fleet.finish(fleet, stale + evacuated > 0 ? 1 : 0, text);
    }
}
