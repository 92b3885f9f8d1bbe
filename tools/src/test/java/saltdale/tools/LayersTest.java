package saltdale.tools;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.Architectures.layeredArchitecture;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.importer.ImportOption.DoNotIncludeTests;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;

/** Checks the layers described in docs/architecture.md, and that pure logic has no dependency on I/O. */
@AnalyzeClasses(packages = "saltdale", importOptions = DoNotIncludeTests.class)
class LayersTest {
    @ArchTest
    static final ArchRule LAYERS = layeredArchitecture()
            .consideringOnlyDependenciesInLayers()
            .layer("model")
            .definedBy("saltdale.model")
            .layer("settings")
            .definedBy("saltdale.settings")
            .layer("overload")
            .definedBy("saltdale.overload")
            .layer("probing")
            .definedBy("saltdale.probing")
            .layer("decision")
            .definedBy("saltdale.decision")
            .layer("transport")
            .definedBy("saltdale.transport")
            .layer("protocol")
            .definedBy("saltdale.protocol")
            .layer("routing")
            .definedBy("saltdale.routing")
            .layer("program")
            .definedBy("saltdale.program")
            .layer("sim")
            .definedBy("saltdale.sim")
            .layer("nodes")
            .definedBy("saltdale.nodes..")
            .layer("serving")
            .definedBy("saltdale.serving")
            .layer("storage")
            .definedBy("saltdale.storage")
            .layer("control")
            .definedBy("saltdale.control", "saltdale.control.message")
            .layer("proxy")
            .definedBy("saltdale.proxy")
            .layer("node")
            .definedBy("saltdale.node")
            .layer("rig")
            .definedBy("saltdale.rig..")
            .layer("tools")
            .definedBy("saltdale.tools")
            .layer("main")
            .definedBy("saltdale")
            .whereLayer("tools")
            .mayNotBeAccessedByAnyLayer()
            .whereLayer("nodes")
            .mayOnlyBeAccessedByLayers("tools")
            .whereLayer("storage")
            .mayOnlyBeAccessedByLayers("node")
            .whereLayer("control")
            .mayOnlyBeAccessedByLayers("proxy", "node")
            .whereLayer("proxy")
            .mayOnlyBeAccessedByLayers("node")
            .whereLayer("node")
            .mayNotBeAccessedByAnyLayer()
            .whereLayer("serving")
            .mayOnlyBeAccessedByLayers("routing", "program", "node")
            .whereLayer("rig")
            .mayOnlyBeAccessedByLayers("tools")
            .whereLayer("main")
            .mayNotBeAccessedByAnyLayer()
            .whereLayer("program")
            .mayOnlyBeAccessedByLayers("main")
            .whereLayer("sim")
            .mayOnlyBeAccessedByLayers("main")
            .whereLayer("routing")
            .mayOnlyBeAccessedByLayers("program")
            .whereLayer("protocol")
            .mayOnlyBeAccessedByLayers("serving", "routing", "program", "node", "rig", "tools")
            .whereLayer("transport")
            .mayOnlyBeAccessedByLayers("serving", "routing", "program", "node", "nodes", "rig", "tools")
            .whereLayer("decision")
            .mayOnlyBeAccessedByLayers("routing", "sim", "rig")
            .whereLayer("overload")
            .mayOnlyBeAccessedByLayers("decision", "routing", "rig")
            .whereLayer("probing")
            .mayOnlyBeAccessedByLayers("decision", "proxy")
            .whereLayer("probing")
            .mayNotAccessAnyLayer()
            .whereLayer("settings")
            .mayOnlyBeAccessedByLayers("routing", "program", "sim", "main");

    @ArchTest
    static final ArchRule DECISIONS_DO_NO_IO = noClasses()
            .that()
            .resideInAnyPackage(
                    "saltdale.decision",
                    "saltdale.overload",
                    "saltdale.probing",
                    "saltdale.model",
                    "saltdale.rig.fleet",
                    "saltdale.rig.judge",
                    "saltdale.rig.platform")
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage("java.net..", "java.nio..", "java.io..", "saltdale.transport", "saltdale.protocol");

    @ArchTest
    static final ArchRule PROTOCOL_DOES_NO_IO = noClasses()
            .that()
            .resideInAPackage("saltdale.protocol")
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage("java.net..", "java.nio.channels..", "saltdale.transport");

    @ArchTest
    static final ArchRule MEMBERSHIP_USES_NO_SOCKETS = noClasses()
            .that()
            .resideInAnyPackage("saltdale.nodes.membership", "saltdale.nodes.tree", "saltdale.nodes.wire")
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage(
                    "java.net..",
                    "java.nio.channels..",
                    "saltdale.transport",
                    "saltdale.nodes.client",
                    "saltdale.nodes.list",
                    "saltdale.nodes.standin");

    @ArchTest
    static final ArchRule ROLES_USE_NO_IO_AND_NO_CLOCK = noClasses()
            .that()
            .resideInAnyPackage("saltdale.control", "saltdale.control.message", "saltdale.proxy")
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage(
                    "java.net..",
                    "java.nio.channels..",
                    "java.nio.file..",
                    "java.time..",
                    "java.util.concurrent..",
                    "saltdale.transport",
                    "saltdale.protocol",
                    "saltdale.serving",
                    "saltdale.storage",
                    "saltdale.node");

    @ArchTest
    static final ArchRule NO_DEPENDENCY_CYCLES =
            slices().matching("saltdale.(*)").should().beFreeOfCycles();
}
