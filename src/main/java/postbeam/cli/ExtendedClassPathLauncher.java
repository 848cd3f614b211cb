package postbeam.cli;

import java.io.File;
import java.io.IOException;
import java.lang.reflect.InvocationTargetException;
import java.net.MalformedURLException;
import java.net.URISyntaxException;
import java.net.URL;
import java.net.URLClassLoader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

/**
 * Runs the program once more, in this virtual machine, with the libraries that a router on the
 * platform does without. Guards the start of a router against them: each jar on the class path is
 * opened and its table of contents kept.
 */
final class ExtendedClassPathLauncher {
    private ExtendedClassPathLauncher() {}

    /**
     * True once the program has been started so, and nothing is left to do; false where they are
     * there already.
     */
    static boolean relaunched(String[] args) {
        try {
            Path jar =
                    Path.of(Main.class.getProtectionDomain().getCodeSource().getLocation().toURI());
            Path more = jar.resolveSibling("more");
            if (Main.class.getClassLoader() instanceof URLClassLoader || !Files.isDirectory(more)) {
                return false;
            }
            List<URL> all = new ArrayList<>(List.of(url(jar)));
            for (Path folder : List.of(jar.resolveSibling("lib"), more)) {
                try (Stream<Path> files = Files.list(folder)) {
                    for (Path file :
                            files.filter(one -> one.toString().endsWith(".jar"))
                                    .sorted()
                                    .toList()) {
                        all.add(url(file));
                    }
                }
            }
            ClassLoader loader =
                    new URLClassLoader(
                            all.toArray(URL[]::new), ClassLoader.getPlatformClassLoader());
            Thread.currentThread().setContextClassLoader(loader);
            loader.loadClass(Main.class.getName())
                    .getMethod("main", String[].class)
                    .invoke(null, (Object) args);
            return true;
        } catch (IOException | URISyntaxException | ReflectiveOperationException e) {
            Throwable cause = e instanceof InvocationTargetException ? e.getCause() : e;
            throw new IllegalStateException(
                    "the libraries beside " + File.separator + "more can't be used", cause);
        }
    }

    private static URL url(Path file) throws MalformedURLException {
        return file.toUri().toURL();
    }
}
