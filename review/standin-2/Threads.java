/** Starts daemon threads whose exceptions end only themselves. */
final class Threads {
    interface Task {
        void run() throws Exception;
    }

    private Threads() {}

    static Thread start(String name, Task task) {
        Thread thread = new Thread(null, () -> {
            try {
                task.run();
            } catch (Exception e) {
                if (System.getenv("TRACE") != null) {
                    e.printStackTrace();
                }
            }
        }, name, 1 << 18);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
