import java.util.ArrayList;
import java.util.List;

/** The deployment starts for the first time; the machine that its seeds name first is lost shortly after its start. */
final class FirstSeed {
    public static void main(String[] arguments) {
        Lab.run(arguments[0], FirstSeed::play);
    }

    private static void play(Lab lab) throws Exception {
        List<String> core = List.of("127.86.1.1", "127.86.2.1", "127.86.3.1", "127.86.4.1");
        String[] zones = {"pos-a", "pos-b", "sfo-a", "chg-a"};
        List<Lab.Host> all = new ArrayList<>();
        for (int i = 0; i < core.size(); i++) all.add(lab.addHost(core.get(i), zones[i], true));
        for (Lab.Host host : all) host.write(core.subList(0, 3), true);
        for (Lab.Host host : all) host.start();
        List<String> control = core;
        if (Lab.TROUBLE) {
            Lab.sleep(500);
            all.get(0).kill();
            control = core.subList(1, 4);
        }
        // The operator resends the first configuration until it is accepted; ack_ms is 4,000 and recovery_s is 12.
        String configuration = Configurations.of(7, Configurations.PAYMENTS, Configurations.COUNTER);
        Lab.Answer accepted = lab.orderUntil(control, "POST", "/-/Config.Replace", configuration, 60_000);
        Replica counter = new Replica(lab, "counter-0", "stall-counter", "v1", zones[1], 6, "", (request, reply) -> {
            lab.note("run " + request.id() + " at counter-0");
            if (reply.pause(43)) reply.whole(200, "", new byte[800]);
        });
        counter.register(control);
        Lab.sleep(4_000);
        int served = 0;
        int sent = 30;
        for (int i = 0; i < sent; i++) {
            String ip = control.get(i % control.size());
            String id = Client.newId("pay");
            try (Client client = new Client(ip, lab.frontendPort)) {
                lab.note("client sends " + id + " to " + ip);
                Client.Result result = client.send("POST", "stall.example", "/pay/1", id,
                    Configurations.KEY + "X-Carawaytrack-Deadline-Ms: 2500\r\n", new byte[600], false, 2_500);
                lab.note("client got " + id + " " + result.status + " " + result.failure);
                if (result.status == 200) served++;
            }
            Lab.sleep(200);
        }
        String figures = "the first configuration was " + (accepted == null ? "not accepted within 60 s" : "accepted")
            + "; " + served + " of " + sent + " payments were served";
        lab.exit(served == 0 ? 1 : 0, figures);
    }
}
