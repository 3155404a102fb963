import java.util.*;

/** Configurations that the pages call invalid are acknowledged, come into force and are read back. */
final class InvalidConfiguration {
    private static final String PATH = "/payments/";

    public static void main(String[] arguments) {
        Lab.main(arguments[0], InvalidConfiguration::run);
    }

    static int run(Lab lab) throws Exception {
        lab.startHosts(3, 0);
        List<String> services = List.of(Lab.service("counter"), Lab.service("billing"));
        String good = Lab.route("payments", PATH, "non_idempotent", "billing", "");
        lab.configure(Lab.document(3, List.of(good), services));
        for (int i = 1; i <= 3; i++) {
            lab.new Replica("counter", "v1", "zone-" + i, 6);
            lab.new Replica("billing", "v1", "zone-" + i, 6);
        }
        lab.awaitReady();
        Lab.sleep(4_000);
        if (!pay(lab).equals("billing")) return Lab.NOT_RUN;

        // Both move the route to `counter`. The first names a service that doesn't exist, the second isn't JSON.
        String moved = Lab.route("payments", PATH, "non_idempotent", "counter",
            ",\"traffic_split\":[{\"service\":\"counter\",\"weight\":90},{\"service\":\"nowhere\",\"weight\":10}]");
        String unknownService = Lab.document(5, List.of(moved), services);
        String plain = Lab.route("payments", PATH, "non_idempotent", "counter", "");
        String notJson = Lab.document(8, List.of(plain), services).replace("\"tls\":false", "\"tls\":fal");
        boolean broken = false;
        for (String invalid : List.of(unknownService, notJson)) {
            lab.configure(Lab.document(invalid == notJson ? 7 : 4, List.of(good), services));
            String sent = lab.trouble ? invalid : Lab.document(invalid == notJson ? 8 : 5, List.of(good), services);
            Lab.Answer answer = lab.order("POST", "/-/Config.Replace", sent);
            lab.note("configuration " + (invalid == notJson ? "that isn't JSON" : "with an unknown service") + ": "
                + answer.status + " " + sent);
            Lab.sleep(3_000);
            String server = pay(lab);
            Lab.Answer read = lab.order("GET", "/-/Config.Fetch", null);
            lab.note("a payment is run by " + server + "; read back: " + (read.text().equals(sent) ? "that document" : "another"));
            if (lab.trouble) broken |= answer.status == 200 || server.equals("counter");
            else if (answer.status != 200) return Lab.NOT_RUN;
        }
        return broken ? Lab.BROKEN : Lab.HELD;
    }

    private static String pay(Lab lab) throws Exception {
        String id = lab.nextAttempt();
        Lab.Answer answer = lab.request(lab.hosts.get(0), "POST", PATH + id, id, 2_500);
        String server = answer.status == 200 ? answer.text().split(" ")[0] : "none, status " + answer.status;
        lab.note("payment " + id + ": " + answer.status + ", run by " + server);
        return server;
    }
}
