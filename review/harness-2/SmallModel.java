import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;

/** Streams that may not be resumed, whose first model has a low opinion of its answers: each may run once at most. */
final class SmallModel {
    private static final int REQUESTS = 20;

    private static final String CONFIGURATION =
        Configurations.of(7, Configurations.stream("r-note", "/note/", 15_000, 3_000, false), Configurations.ENGINES);

    public static void main(String[] arguments) {
        Lab.run(arguments[0], SmallModel::play);
    }

    private static void play(Lab lab) throws Exception {
        List<String> ips = List.of("127.82.1.1", "127.82.2.1", "127.82.3.1");
        String[] zones = {"pos-a", "pos-b", "sfo-a"};
        List<Lab.Host> all = new ArrayList<>();
        for (int i = 0; i < ips.size(); i++) all.add(lab.addHost(ips.get(i), zones[i], true));
        for (Lab.Host host : all) host.write(ips, true);
        for (Lab.Host host : all) host.start();
        if (lab.orderUntil(ips, "POST", "/-/Config.Replace", CONFIGURATION, 30_000) == null) lab.exit(2, "no configuration");

        Map<String, ConcurrentLinkedQueue<String>> runs = new ConcurrentHashMap<>();
        // The opinion is the only difference: with 20 an answer is doubtful, with 95 it is not.
        int confidence = Lab.TROUBLE ? 20 : 95;
        for (int i = 0; i < 3; i++) {
            String id = "engine-" + i;
            Replica engine = new Replica(lab, id, "scribe-models", "v1", zones[i], 64, Configurations.MODELS, (request, reply) -> {
                String model = request.header("X-Carawaytrack-Model-Name");
                if (!reply.pause(60)) return;
                // The run begins with its first token, which comes with the head of the answer.
                runs.computeIfAbsent(request.id(), key -> new ConcurrentLinkedQueue<>()).add(id + " " + model);
                lab.note("run " + request.id() + " at " + id + " by " + model);
                int opinion = model.equals("m0") ? confidence : 95;
                reply.begin("X-Carawaytrack-Hint-Confidence: " + opinion + "\r\nX-Carawaytrack-Weight-Versions: 1\r\n");
                for (int event = 1; event <= 42; event++) {
                    reply.event(event, model + " piece " + event);
                    if (!reply.pause(20)) {
                        lab.note("run " + request.id() + " by " + model + " dropped after piece " + event);
                        return;
                    }
                }
                reply.end();
            });
            engine.register(ips);
        }
        if (!lab.awaitReady(all, 15_000)) lab.exit(2, "the hosts did not become ready");
        Lab.sleep(6_000);

        int answered = 0;
        List<String> sent = new ArrayList<>();
        for (int i = 0; i < REQUESTS; i++) {
            String id = Client.newId("note");
            sent.add(id);
            try (Client client = new Client(ips.get(i % ips.size()), lab.frontendPort)) {
                lab.note("client sends " + id);
                Client.Result result = client.send("POST", "stall.example", "/note/1", id,
                    Configurations.promptHeaders(15_000, i),
                    "a short note".getBytes(StandardCharsets.US_ASCII), false, 15_000);
                lab.note("client got " + id + " " + result.status + (result.complete ? " complete " : " incomplete ") + result.failure);
                if (result.status == 200 && result.complete) answered++;
            }
            Lab.sleep(400);
        }
        long twice = sent.stream().filter(id -> runs.containsKey(id) && runs.get(id).size() > 1).count();
        String figures = twice + " of " + REQUESTS + " requests ran more than once; " + answered + " were answered";
        if (answered < REQUESTS / 2) lab.exit(2, figures);
        lab.exit(twice > 0 ? 1 : 0, figures);
    }
}
