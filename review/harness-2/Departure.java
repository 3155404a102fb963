import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/** All processes are killed immediately after the departure of a replica was acknowledged; it goes on serving for seconds. */
final class Departure {
    /** One of eight leaves: an eighth of the service, as much as the site's `scale_in` takes. */
    private static final int REPLICAS = 8;
    private static final int SLOTS = 6;
    private static final int WORK_MILLIS = 120;
    /** The usual load keeps seven eighths of the slots busy; the burst is 1.7 times that, for 3 s. */
    private static final int USUAL_CLIENTS = 42;
    private static final int BURST_CLIENTS = 71;
    private static final int BURST_MILLIS = 3_000;
    private static final int DRAIN_MILLIS = 2_000;
    private static final int CONTACT_MILLIS = 3_000;

    public static void main(String[] arguments) {
        Lab.run(arguments[0], Departure::play);
    }

    private static void play(Lab lab) throws Exception {
        List<String> ips = List.of("127.85.1.1", "127.85.2.1", "127.85.3.1", "127.85.4.1");
        String[] zones = {"pos-a", "pos-b", "sfo-a", "chg-a"};
        List<Lab.Host> all = new ArrayList<>();
        for (int i = 0; i < ips.size(); i++) all.add(lab.addHost(ips.get(i), zones[i], true));
        for (Lab.Host host : all) host.write(ips.subList(0, 3), true);
        for (Lab.Host host : all) host.start();
        String configuration = Configurations.of(7, Configurations.PAYMENTS, Configurations.COUNTER);
        if (lab.orderUntil(ips, "POST", "/-/Config.Replace", configuration, 30_000) == null) lab.exit(2, "no configuration");
        for (Lab.Host host : all) host.write(ips.subList(0, 3), false);

        Map<String, ConcurrentLinkedQueue<Long>> arrivals = new ConcurrentHashMap<>();
        List<Replica> replicas = new ArrayList<>();
        for (int i = 0; i < REPLICAS; i++) {
            String id = "counter-" + i;
            arrivals.put(id, new ConcurrentLinkedQueue<>());
            Replica replica = new Replica(lab, id, "stall-counter", "v1", zones[i % zones.length], SLOTS, "", (request, reply) -> {
                arrivals.get(id).add(Lab.millis());
                lab.note("run " + request.id() + " at " + id);
                if (reply.pause(WORK_MILLIS)) reply.whole(200, "", new byte[800]);
            });
            replica.register(ips);
            replicas.add(replica);
        }
        if (!lab.awaitReady(all, 15_000)) lab.exit(2, "the hosts did not become ready");
        Lab.sleep(6_000);
        int before = pay(lab, ips, USUAL_CLIENTS, 2_000);
        if (before < 20) lab.exit(2, "only " + before + " payments were answered before");

        Replica leaving = replicas.get(0);
        String acknowledgedBy = leaving.deregister(ips);
        long acknowledgedAtMillis = Lab.millis();
        if (acknowledgedBy == null) lab.exit(2, "the departure was not acknowledged");
        lab.note("departure of " + leaving.id + " acknowledged by " + acknowledgedBy);
        if (Lab.TROUBLE) {
            for (Lab.Host host : all) host.process.destroyForcibly();
            for (Lab.Host host : all) host.kill();
            for (Lab.Host host : all) host.start();
            if (!lab.awaitReady(all, 15_000)) lab.exit(2, "the hosts did not become ready again");
        }
        // After a fault that took most of the core, machines are in touch again when twice contact_ms have passed.
        pay(lab, ips, USUAL_CLIENTS, 2 * CONTACT_MILLIS + 500);
        long inTouchAtMillis = Math.max(Lab.millis(), acknowledgedAtMillis + DRAIN_MILLIS);
        lab.note("all machines are in touch");
        int after = pay(lab, ips, BURST_CLIENTS, BURST_MILLIS);
        leaving.close();
        lab.note(leaving.id + " exits " + (Lab.millis() - acknowledgedAtMillis) + " ms after the acknowledgement");
        long late = arrivals.get(leaving.id).stream().filter(at -> at >= inTouchAtMillis).count();
        String figures = late + " payments reached the replica from " + (inTouchAtMillis - acknowledgedAtMillis)
            + " ms after its departure was acknowledged; " + after + " payments were answered then";
        if (after < 20) lab.exit(2, figures);
        lab.exit(late > 0 ? 1 : 0, figures);
    }

    /** Lets the clients pay, one payment after the other, for the given time; returns how many were answered with 200. */
    private static int pay(Lab lab, List<String> ips, int count, long forMillis) throws InterruptedException {
        AtomicInteger answered = new AtomicInteger();
        long end = Lab.millis() + forMillis;
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            String ip = ips.get(i % ips.size());
            Thread client = new Thread(() -> {
                while (Lab.millis() < end) {
                    if (payOnce(lab, ip)) answered.incrementAndGet();
                    Lab.sleep(20);
                }
            });
            clients.add(client);
            client.start();
        }
        for (Thread client : clients) client.join();
        return answered.get();
    }

    private static boolean payOnce(Lab lab, String ip) {
        String id = Client.newId("pay");
        try (Client client = new Client(ip, lab.frontendPort)) {
            lab.note("client sends " + id + " to " + ip);
            Client.Result result = client.send("POST", "stall.example", "/pay/1", id,
                Configurations.KEY + "X-Carawaytrack-Deadline-Ms: 2500\r\n", new byte[600], false, 2_500);
            lab.note("client got " + id + " " + result.status + " " + result.failure);
            return result.status == 200;
        } catch (java.io.IOException failure) {
            lab.note("client of " + ip + " failed: " + failure);
            return false;
        }
    }
}
