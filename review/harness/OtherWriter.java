import java.util.*;
import java.util.concurrent.*;

/**
 * A heartbeat of another writer, which lacks a field, names a replica of one service under another service: hosts send
 * payments to it, and callers get its answers.
 */
final class OtherWriter {
    private static final String LOOKUPS = "/lookups/";
    private static final String PAYMENTS = "/payments/";

    public static void main(String[] arguments) {
        Lab.main(arguments[0], OtherWriter::run);
    }

    static int run(Lab lab) throws Exception {
        lab.startHosts(3, 0);
        lab.configure(Lab.document(3,
            List.of(Lab.route("lookups", LOOKUPS, "idempotent", "counter", ""),
                Lab.route("payments", PAYMENTS, "non_idempotent", "billing", "")),
            List.of(Lab.service("counter"), Lab.service("billing"))));
        List<Lab.Replica> counters = new ArrayList<>();
        for (int i = 1; i <= 3; i++) counters.add(lab.new Replica("counter", "v1", "zone-" + i, 6));
        for (int i = 2; i <= 3; i++) lab.new Replica("billing", "v1", "zone-" + i, 6);
        lab.awaitReady();
        Lab.sleep(4_000);

        Map<String, String> answers = new ConcurrentHashMap<>();
        ScheduledExecutorService clients = Executors.newScheduledThreadPool(40);
        boolean[] stopped = {false};
        for (Lab.Host host : lab.hosts) {
            for (String path : List.of(LOOKUPS, PAYMENTS)) {
                clients.scheduleAtFixedRate(() -> {
                    if (!stopped[0]) clients.execute(() -> ask(lab, host, path, answers));
                }, 0, 100, TimeUnit.MILLISECONDS);
            }
        }
        Lab.sleep(3_000);
        if (lab.trouble) {
            Lab.Replica named = counters.get(0);
            // All fields of a heartbeat but cold_remaining_ms.
            String body = "{\"service\":\"billing\",\"address\":\"" + named.address() + "\",\"zone\":\"" + named.zone
                + "\",\"version\":\"v1\",\"slots\":6,\"state\":\"ready\",\"sequence\":1000,\"born\":" + named.born + "}";
            Lab.Host host = lab.hosts.get(1);
            Lab.Answer answer = Lab.call("POST", host.ip, lab.controlPort, "/-/Instances.Heartbeat/" + named.id, body, 1_000);
            lab.note("other writer's heartbeat to " + host.name + " for " + named.id + ": " + answer.status + " " + body);
        }
        Lab.sleep(8_000);
        stopped[0] = true;
        Lab.sleep(1_500);
        clients.shutdownNow();

        int own = 0, foreign = 0;
        for (Lab.Replica replica : lab.replicas) {
            String prefix = replica.service.equals("counter") ? LOOKUPS : PAYMENTS;
            for (Lab.Run run : List.copyOf(replica.runs)) {
                if (run.path().startsWith(prefix)) own++; else foreign++;
            }
        }
        long foreignAnswers = answers.entrySet().stream()
            .filter(entry -> entry.getKey().startsWith(PAYMENTS) && entry.getValue().equals("counter")).count();
        lab.note("runs at a replica of the route's service: " + own);
        lab.note("payments run by a replica of another service, which no configuration allows: " + foreign
            + ", their answers that clients got: " + foreignAnswers);
        if (own < 200) return Lab.NOT_RUN;
        return foreign > 0 ? Lab.BROKEN : Lab.HELD;
    }

    private static void ask(Lab lab, Lab.Host host, String path, Map<String, String> answers) {
        String id = lab.nextAttempt();
        try {
            Lab.Answer answer = lab.request(host, path.equals(PAYMENTS) ? "POST" : "GET", path + id, id, 2_500);
            String from = answer.status == 200 ? answer.text().split(" ")[0] : "status " + answer.status;
            answers.put(path + id, from);
            lab.note("answer " + answer.status + " to " + path + id + " from " + host.name + ", made by " + from);
        } catch (Exception failure) {
            lab.note("no answer to " + path + id + " from " + host.name + ": " + failure);
        }
    }
}
