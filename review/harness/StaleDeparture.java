import java.util.*;
import java.util.concurrent.*;

/**
 * A host that is frozen while a replica deregisters never hears of it: once it has woken up and is in touch again, it
 * goes on sending requests to that replica.
 */
final class StaleDeparture {
    private static final int DRAIN_MILLIS = 2_000;
    private static final int CONTACT_MILLIS = 3_000;
    private static final int FREEZE_MILLIS = 4_000;

    private static final int REPLICAS = 8;
    private static final int WORK_MILLIS = 200;

    /** Interval of each host's requests: all together use four fifths of the replicas. */
    private static final int REQUEST_INTERVAL_MILLIS = 21;

    /** Interval of the further requests of a burst of 1.7 times the usual, and its length. */
    private static final int BURST_INTERVAL_MILLIS = 30;
    private static final int BURST_MILLIS = 3_000;

    record Sent(long atMillis, String host) {}

    public static void main(String[] arguments) {
        Lab.main(arguments[0], StaleDeparture::run);
    }

    static int run(Lab lab) throws Exception {
        lab.startHosts(3, 1);
        Lab.Host acknowledging = lab.hosts.get(0);
        Lab.Host frozen = lab.hosts.get(3);
        lab.configure(Lab.document(3, List.of(Lab.route("lookups", "/lookups/", "idempotent", "counter", "")),
            List.of(Lab.service("counter"))));
        for (int i = 0; i < REPLICAS; i++) lab.new Replica("counter", "v1", "zone-" + (1 + i % 3), 6).workMillis = WORK_MILLIS;
        Lab.Replica leaving = lab.replicas.get(0);
        lab.awaitReady();
        Lab.sleep(5_000);

        Map<String, Sent> sent = new ConcurrentHashMap<>();
        Map<String, Integer> answers = new ConcurrentHashMap<>();
        ScheduledExecutorService clients = Executors.newScheduledThreadPool(400);
        boolean[] stopped = {false};
        // Clients of the host pause around the freeze, so that no request is cut by it.
        boolean[] pausedAtFrozen = {false};
        boolean[] bursting = {false};
        for (Lab.Host host : lab.hosts) {
            Runnable send = () -> {
                String id = lab.nextAttempt();
                sent.put(id, new Sent(lab.now(), host.name));
                clients.execute(() -> ask(lab, host, id, answers));
            };
            clients.scheduleAtFixedRate(() -> {
                if (!stopped[0] && !(host == frozen && pausedAtFrozen[0])) send.run();
            }, 0, REQUEST_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
            clients.scheduleAtFixedRate(() -> {
                if (bursting[0]) send.run();
            }, 0, BURST_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        }
        Lab.sleep(3_000);
        pausedAtFrozen[0] = true;
        Lab.sleep(700);
        long frozenAt = lab.now();
        if (lab.trouble) frozen.signal("STOP");
        lab.sleepUntil(frozenAt + FREEZE_MILLIS - 300);
        long acknowledgedAt = leaving.deregister(acknowledging);
        lab.sleepUntil(frozenAt + FREEZE_MILLIS);
        if (lab.trouble) frozen.signal("CONT");
        long wokenAt = lab.now();
        Lab.sleep(500);
        pausedAtFrozen[0] = false;
        lab.sleepUntil(wokenAt + CONTACT_MILLIS);
        bursting[0] = lab.trouble;
        Lab.sleep(BURST_MILLIS);
        bursting[0] = false;
        // The replica goes on serving for drain_ms and some seconds more, then it exits.
        lab.sleepUntil(acknowledgedAt + DRAIN_MILLIS + 6_000);
        stopped[0] = true;
        Lab.sleep(1_000);
        leaving.exit();
        clients.shutdownNow();

        long inTouchFrom = lab.trouble ? wokenAt + CONTACT_MILLIS : 0;
        int late = 0, before = 0;
        Map<String, Integer> lateBy = new TreeMap<>();
        for (Lab.Run run : List.copyOf(leaving.runs)) {
            Sent request = sent.get(run.id());
            if (run.atMillis() <= acknowledgedAt) before++;
            if (request == null || run.atMillis() <= acknowledgedAt + DRAIN_MILLIS) continue;
            if (request.host().equals(frozen.name) && request.atMillis() < inTouchFrom) continue;
            late++;
            lateBy.merge(request.host(), 1, Integer::sum);
        }
        long served = answers.values().stream().filter(status -> status == 200).count();
        lab.note("sent " + sent.size() + ", answered 200: " + served + ", runs at the leaving replica up to the acknowledgement: "
            + before);
        lab.note("runs at the leaving replica later than drain_ms after the acknowledgement, sent on by hosts in touch: "
            + late + " " + lateBy);
        if (before == 0 || served < sent.size() / 2) return Lab.NOT_RUN;
        return late > 0 ? Lab.BROKEN : Lab.HELD;
    }

    private static void ask(Lab lab, Lab.Host host, String id, Map<String, Integer> answers) {
        try {
            Lab.Answer answer = lab.request(host, "GET", "/lookups/" + id, id, 2_500);
            answers.put(id, answer.status);
            lab.note("answer " + answer.status + " to " + id + " from " + host.name);
        } catch (Exception failure) {
            lab.note("no answer to " + id + " from " + host.name + ": " + failure);
        }
    }
}
