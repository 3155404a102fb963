import java.util.ArrayList;
import java.util.List;

/** All processes of the core are killed and come back at once; the machines that their seeds name are no longer there. */
final class Seeds {
    private static final String CONFIGURATION = Configurations.of(7, Configurations.PAYMENTS, Configurations.COUNTER);

    public static void main(String[] arguments) {
        Lab.run(arguments[0], Seeds::play);
    }

    private static void play(Lab lab) throws Exception {
        List<String> core = List.of("127.81.1.1", "127.81.2.1", "127.81.3.1", "127.81.4.1");
        List<String> others = List.of("127.81.1.2", "127.81.2.2", "127.81.3.2");
        String[] zones = {"pos-a", "pos-b", "sfo-a", "chg-a"};
        List<Lab.Host> all = new ArrayList<>();
        for (int i = 0; i < core.size(); i++) all.add(lab.addHost(core.get(i), zones[i], true));
        for (int i = 0; i < others.size(); i++) all.add(lab.addHost(others.get(i), zones[i], false));
        for (Lab.Host host : all) host.write(others, true);
        for (Lab.Host host : all) host.start();

        List<String> control = new ArrayList<>(core);
        control.addAll(others);
        if (lab.orderUntil(control, "POST", "/-/Config.Replace", CONFIGURATION, 30_000) == null) {
            lab.exit(2, "the first configuration was not accepted");
        }
        if (!lab.awaitReady(all, 15_000)) lab.exit(2, "the hosts did not become ready");
        Lab.Answer before = lab.orderUntil(control, "GET", "/-/Config.Fetch", null, 10_000);
        if (before == null || !before.body.contains("\"version\":7")) lab.exit(2, "the configuration could not be read before");
        Lab.sleep(5_000);
        for (Lab.Host host : all) host.write(others, false);

        // The machines without a disk are lost for good; DEPLOY.md bounds their number by nothing.
        if (Lab.TROUBLE) {
            for (String ip : others) lab.hosts.get(ip).kill();
            control = new ArrayList<>(core);
            Lab.sleep(8_000);
            Lab.Answer meanwhile = lab.orderUntil(control, "GET", "/-/Config.Fetch", null, 10_000);
            if (meanwhile == null) lab.exit(2, "the core did not serve after the loss of machines without a disk");
        }
        for (String ip : core) lab.hosts.get(ip).process.destroyForcibly();
        for (String ip : core) lab.hosts.get(ip).kill();
        for (String ip : core) lab.hosts.get(ip).start();
        long backAtMillis = Lab.millis();
        // recovery_s is 12; the operator reads repeatedly for much longer than contact_ms after it.
        Lab.Answer after = lab.orderUntil(control, "GET", "/-/Config.Fetch", null, 45_000);
        long tookMillis = Lab.millis() - backAtMillis;
        if (after == null) lab.exit(1, "the acknowledged configuration could not be read back within 45 s of the return of the core");
        if (!after.body.contains("\"version\":7")) lab.exit(1, "another configuration was read back");
        lab.exit(tookMillis <= 15_000 ? 0 : 1, "the configuration was read back " + tookMillis + " ms after the return of the core");
    }
}
