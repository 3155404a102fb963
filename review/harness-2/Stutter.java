import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/** Half of the replicas cut off a few of their answers and then answer the same request a second time, whole. */
final class Stutter {
    /** Share of the answers that such a replica spoils. */
    private static final double SPOILT = 0.03;
    private static final int CLIENTS = 12;
    private static final int PLAY_MILLIS = 30_000;

    public static void main(String[] arguments) {
        Lab.run(arguments[0], Stutter::play);
    }

    private static void play(Lab lab) throws Exception {
        List<String> ips = List.of("127.89.1.1", "127.89.2.1", "127.89.3.1", "127.89.4.1");
        String[] zones = {"pos-a", "pos-b", "sfo-a", "chg-a"};
        List<Lab.Host> all = new ArrayList<>();
        for (int i = 0; i < ips.size(); i++) all.add(lab.addHost(ips.get(i), zones[i], true));
        for (Lab.Host host : all) host.write(ips.subList(0, 3), true);
        for (Lab.Host host : all) host.start();
        String configuration =
            Configurations.of(7, Configurations.PAYMENTS + "," + Configurations.LOOKUPS, Configurations.COUNTER);
        if (lab.orderUntil(ips, "POST", "/-/Config.Replace", configuration, 30_000) == null) lab.exit(2, "no configuration");

        AtomicInteger spoilt = new AtomicInteger();
        for (int i = 0; i < 4; i++) {
            String id = "counter-" + i;
            boolean stutters = Lab.TROUBLE && i % 2 == 0;
            Replica replica = new Replica(lab, id, "stall-counter", "v1", zones[i], 6, "", (request, reply) -> {
                lab.note("run " + request.id() + " at " + id);
                if (!reply.pause(43)) return;
                byte[] content = contentOf(request.id());
                if (stutters && ThreadLocalRandom.current().nextDouble() < SPOILT) {
                    int bytes = ThreadLocalRandom.current().nextInt(1, content.length);
                    spoilt.incrementAndGet();
                    lab.note("answer to " + request.id() + " cut after " + bytes + " of " + content.length + " bytes");
                    reply.cut(200, content, bytes);
                    if (!reply.pause(ThreadLocalRandom.current().nextInt(20, 100))) return;
                    lab.note("second answer to " + request.id());
                }
                reply.whole(200, "", content);
            });
            replica.register(ips);
        }
        if (!lab.awaitReady(all, 15_000)) lab.exit(2, "the hosts did not become ready");
        Lab.sleep(6_000);

        ConcurrentLinkedQueue<String> mixed = new ConcurrentLinkedQueue<>();
        AtomicInteger answered = new AtomicInteger();
        long end = Lab.millis() + PLAY_MILLIS;
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            String ip = ips.get(i % ips.size());
            Thread client = new Thread(() -> {
                while (Lab.millis() < end) useOneConnection(lab, ip, answered, mixed);
            });
            clients.add(client);
            client.start();
        }
        for (Thread client : clients) client.join();
        String figures = answered + " successes, " + spoilt + " answers spoilt by replicas, " + mixed.size()
            + " successes whose body isn't the replica's";
        if (answered.get() < 100) lab.exit(2, figures);
        lab.exit(mixed.isEmpty() ? 0 : 1, figures);
    }

    /** The body that every replica gives to the request. */
    private static byte[] contentOf(String id) {
        return (id + " ").repeat(800 / id.length() + 1).substring(0, 800).getBytes(StandardCharsets.US_ASCII);
    }

    private static void useOneConnection(Lab lab, String ip, AtomicInteger answered, ConcurrentLinkedQueue<String> mixed) {
        try (Client client = new Client(ip, lab.frontendPort)) {
            for (int i = 0; i < 10; i++) {
                boolean payment = i % 3 == 2;
                String id = Client.newId(payment ? "pay" : "lookup");
                lab.note("client sends " + id + " to " + ip);
                Client.Result result = client.send(payment ? "POST" : "GET", "stall.example", payment ? "/pay/1" : "/look/1", id,
                    Configurations.KEY + "X-Carawaytrack-Deadline-Ms: 2500\r\n", payment ? new byte[600] : null, false, 2_500);
                boolean success = result.complete && result.status == 200;
                boolean whole = Arrays.equals(result.body, contentOf(id));
                lab.note("client got " + id + " " + result.status + " " + result.failure
                    + (success && !whole ? "MIXED: " + new String(result.body, StandardCharsets.US_ASCII).replace("\r\n", "~") : ""));
                if (success) answered.incrementAndGet();
                if (success && !whole) mixed.add(id);
                if (!result.complete || result.closes) return;
                Lab.sleep(20);
            }
        } catch (java.io.IOException failure) {
            lab.note("client of " + ip + " failed: " + failure);
        }
    }
}
