package io.daisyhoist.daemon;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

/** Guards the order of the packages: what lives shorter may use what lives longer only through what it is given. */
class ArchitectureTest {
    private static final JavaClasses DAEMON = new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests())
            .importPackages("io.daisyhoist.daemon");

    @Test
    void connectionAndLimits_knowNeitherRequestsNorTheProcess() {
        noClasses()
                .that()
                .resideInAnyPackage("..daemon.connection..", "..daemon.limits..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("..daemon.request..", "..daemon.version..", "..daemon.process..")
                .check(DAEMON);
    }

    @Test
    void request_doesNotKnowTheProcess() {
        noClasses()
                .that()
                .resideInAnyPackage("..daemon.request..", "..daemon.version..", "..daemon.telemetry..")
                .should()
                .dependOnClassesThat()
                .resideInAPackage("..daemon.process..")
                .check(DAEMON);
    }

    @Test
    void version_doesNoIo() {
        noClasses()
                .that()
                .resideInAPackage("..daemon.version..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("io.netty..", "io.vertx..")
                .check(DAEMON);
    }
}
