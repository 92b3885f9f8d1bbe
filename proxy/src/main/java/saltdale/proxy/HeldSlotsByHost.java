package saltdale.proxy;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import saltdale.control.Environment;
import saltdale.control.message.SlotMessage.HeldSlot;
import saltdale.control.message.SlotMessage.SlotsHeld;

/** Collects slots in use by the host of their new owner, and sends each of these owners one message. */
final class HeldSlotsByHost {
    private final Map<String, List<HeldSlot>> slots = new LinkedHashMap<>();

    void add(String host, HeldSlot slot) {
        slots.computeIfAbsent(host, h -> new ArrayList<>()).add(slot);
    }

    void send(Environment environment) {
        slots.forEach((host, held) -> environment.send(host, new SlotsHeld(held)));
    }
}
