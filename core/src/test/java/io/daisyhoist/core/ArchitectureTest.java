package io.daisyhoist.core;

import java.time.Clock;
import java.time.Instant;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import io.daisyhoist.core.time.SystemTimeSource;
import org.junit.jupiter.api.Test;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

/** Guards against I/O, threads and direct reads of clocks in the core, which would make its decisions untestable. */
class ArchitectureTest {
    private static final JavaClasses CORE = new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests())
            .importPackages("io.daisyhoist.core");

    @Test
    void model_dependsOnNoOtherCorePackage() {
        classes()
                .that()
                .resideInAPackage("..core.model..")
                .should()
                .onlyDependOnClassesThat()
                .resideInAnyPackage("java..", "com.fasterxml.jackson..", "io.daisyhoist.core.model..")
                .check(CORE);
    }

    @Test
    void core_performsNoIo() {
        noClasses()
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("java.net..", "java.nio.channels..", "java.nio.file..", "io.vertx..", "io.netty..")
                .check(CORE);
    }

    @Test
    void core_startsNoThreads() {
        noClasses()
                .should()
                .dependOnClassesThat()
                .resideInAPackage("java.util.concurrent")
                .orShould()
                .dependOnClassesThat()
                .areAssignableTo(Thread.class)
                .check(CORE);
    }

    @Test
    void core_readsClocksOnlyThroughTimeSource() {
        noClasses()
                .that()
                .areNotAssignableTo(SystemTimeSource.class)
                .should()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .callMethod(System.class, "currentTimeMillis")
                .orShould()
                .callMethod(Instant.class, "now")
                .orShould()
                .dependOnClassesThat()
                .areAssignableTo(Clock.class)
                .check(CORE);
    }
}
