package saltdale.control.message;

import saltdale.control.MalformedMessage;

/**
 * The kinds of messages. On the wire a kind is its position in this list, and errors contain its name, so the order and
 * the names of the constants must not change.
 */
public enum MessageKind {
    HELLO(Hello::read),
    PREPARE(BallotMessage.Prepare::read),
    PROMISE(BallotMessage.Promise::read),
    REFUSAL(BallotMessage.Refusal::read),
    ACCEPT(BallotMessage.Accept::read),
    ACCEPTED(BallotMessage.Accepted::read),
    TEXT_NEEDED(BallotMessage.TextNeeded::read),
    CHOSEN(BallotMessage.Chosen::read),
    FETCH(BallotMessage.Fetch::read),
    HEARTBEAT(HeartbeatMessage.Heartbeat::read),
    HEARTBEAT_ACK(HeartbeatMessage.HeartbeatAck::read),
    LEASE_RENEWAL(SessionMessage.LeaseRenewal::read),
    LEASE_GRANT(SessionMessage.LeaseGrant::read),
    LEASE_OVER(SessionMessage.LeaseExpired::read),
    QUORUM_LOST(SessionMessage.QuorumLost::read),
    CONTROL_NODE_LEAVES(SessionMessage.ControlNodeLeaving::read),
    CONTACT_PROBE(ContactMessage.ContactProbe::read),
    CONTACT_REPLY(ContactMessage.ContactReply::read),
    CONFIGURATION_CHANGE(SessionMessage.ConfigurationChange::read),
    CONFIGURATION_OFFER(SessionMessage.ConfigurationOffer::read),
    SNAPSHOT_REQUEST(SessionMessage.SnapshotRequest::read),
    SNAPSHOT_PART(SessionMessage.SnapshotPart::read),
    MEMBERS_CHANGE(SessionMessage.MembersChange::read),
    INSTANCES_NEWS(SessionMessage.InstancesChange::read),
    DEMAND_REPORT(InstanceMessage.DemandReport::read),
    INSTANCE_READY(InstanceMessage.InstanceReady::read),
    INSTANCE_UPDATES(InstanceMessage.InstanceUpdates::read),
    START_INTENTS(InstanceMessage.StartIntents::read),
    SLOT_REQUEST(SlotMessage.SlotRequest::read),
    SLOT_GRANT(SlotMessage.SlotGrant::read),
    SLOT_QUEUED(SlotMessage.SlotQueued::read),
    SLOT_ELSEWHERE(SlotMessage.SlotRedirect::read),
    SLOT_REFUSAL(SlotMessage.SlotRefusal::read),
    SLOT_CANCEL(SlotMessage.SlotCancel::read),
    SLOT_RETURN(SlotMessage.SlotReturn::read),
    SLOTS_HELD(SlotMessage.SlotsHeld::read);

    /** Reads the fields of a message of one kind. */
    interface Reader {
        Message read(FieldReader fields) throws MalformedMessage;
    }

    final Reader reader;

    MessageKind(Reader reader) {
        this.reader = reader;
    }
}
