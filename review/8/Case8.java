/** Many turns continue the same long history at the same time. */
final class Case8 {
    private static final int CHAIN_TURNS = 7;
    private static final int TURNS = 48;
    private static final int BODY_BYTES = 1_000_000;
    private static final int ORDINARY_BODY_BYTES = 2_100;

    private Case8() {}

    public static void main(String[] arguments) {
        Kit.main(arguments, kit -> Rounds.play(kit, Case8::send));
    }

    private static void send(Kit kit, Kit.Gateway gateway, int round) throws Exception {
        String body = "x".repeat(Kit.trouble() ? BODY_BYTES : ORDINARY_BODY_BYTES);
        String last = null;
        int made = 0;
        for (int attempt = 0; made < CHAIN_TURNS && attempt < 3 * CHAIN_TURNS; attempt++) {
            String id = "chain-" + round + "-" + gateway.vm + "-" + attempt;
            if (Rounds.turn(gateway, id, last, "key-guests", body).equals("200")) {
                last = id;
                made++;
            } else {
                Kit.sleep(300);
            }
        }
        kit.log("chain of " + made + " turns at " + gateway.vm);
        // A turn that has failed is sent again from its start, at most twice.
        for (int attempt = 1; attempt <= 3 && gateway.process.isAlive(); attempt++) {
            Rounds.crowd(kit, gateway, "turn-" + round + "-" + attempt, TURNS, last, "go on");
            Kit.sleep(300);
        }
    }
}
